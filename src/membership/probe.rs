//! Probes that a router makes for itself, and those it relays for other routers.

use std::{collections::VecDeque, time::Duration};

use crate::{Instant, RouterName};

/// Time between two probes.
const PROBE_PERIOD: Duration = Duration::from_millis(600);

/// Time to wait for an ack before an indirect probe, and between two rounds of them.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time from the first probe after which a target without an ack is suspected.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Most relayed probes whose acks are still expected; the oldest ones are dropped.
const MAX_RELAYED_PROBES: usize = 64;

/// The probe that has no ack yet.
#[derive(Debug)]
struct Outstanding {
    target: RouterName,
    number: u32,
    sent_at: Instant,
    /// Number of rounds of indirect probes so far.
    indirect_rounds: u32,
}

/// A probe relayed for another router.
#[derive(Debug)]
struct Relayed {
    /// Number under which this router probes the target.
    number: u32,
    requester: RouterName,
    /// Number under which the requester expects the ack.
    requester_number: u32,
}

/// What the prober asks its caller to do.
#[derive(Debug, PartialEq, Eq)]
pub enum ProbeAction {
    /// Do nothing.
    Wait,
    /// Choose a router and probe it.
    Probe,
    /// Probe `target` again under `number`, and ask other routers to probe it.
    ProbeAgain {
        /// Router that has not acknowledged the probe.
        target: RouterName,
        /// Number of the probe.
        number: u32,
    },
    /// Suspect the router, which has answered neither direct nor indirect probes.
    Suspect(RouterName),
}

/// The probes of this router: at most one of its own, and those it relays.
#[derive(Debug, Default)]
pub struct Prober {
    outstanding: Option<Outstanding>,
    relayed: VecDeque<Relayed>,
    last_number: u32,
    next_probe_at: Instant,
}

impl Prober {
    /// Returns the action that is due at `now`.
    pub fn next_action(&mut self, now: Instant) -> ProbeAction {
        let Some(probe) = &mut self.outstanding else {
            return if now >= self.next_probe_at {
                ProbeAction::Probe
            } else {
                ProbeAction::Wait
            };
        };
        let age = now.since(probe.sent_at);
        if age >= PROBE_TIMEOUT {
            let target = probe.target.clone();
            self.outstanding = None;
            return ProbeAction::Suspect(target);
        }
        if age >= ACK_TIMEOUT * (probe.indirect_rounds + 1) {
            probe.indirect_rounds += 1;
            let target = probe.target.clone();
            let number = probe.number;
            return ProbeAction::ProbeAgain { target, number };
        }
        ProbeAction::Wait
    }

    /// Starts a probe of `target` and returns its number.
    pub fn start(&mut self, target: &RouterName, now: Instant) -> u32 {
        let number = self.next_number();
        self.next_probe_at = now + PROBE_PERIOD;
        self.outstanding = Some(Outstanding {
            target: target.clone(),
            number,
            sent_at: now,
            indirect_rounds: 0,
        });
        number
    }

    /// Starts a probe for router `requester` and returns its number.
    pub fn start_relayed(&mut self, requester: &RouterName, requester_number: u32) -> u32 {
        let number = self.next_number();
        if self.relayed.len() >= MAX_RELAYED_PROBES {
            self.relayed.pop_front();
        }
        self.relayed.push_back(Relayed {
            number,
            requester: requester.clone(),
            requester_number,
        });
        number
    }

    /// Records an ack; for a relayed probe, returns the requester and its number for the ack.
    pub fn acknowledge(&mut self, number: u32) -> Option<(RouterName, u32)> {
        if self
            .outstanding
            .as_ref()
            .is_some_and(|probe| probe.number == number)
        {
            self.outstanding = None;
        }
        let index = self
            .relayed
            .iter()
            .position(|relayed| relayed.number == number)?;
        let relayed = self.relayed.remove(index)?;
        Some((relayed.requester, relayed.requester_number))
    }

    /// Drops the probe that has no ack yet, after a pause of this router.
    pub fn cancel(&mut self) {
        self.outstanding = None;
    }

    fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }
}
