//! Probes of other routers, and those made for other routers.

use std::{collections::VecDeque, time::Duration};

use crate::{Instant, RouterName};

/// Time between two probes.
const PROBE_PERIOD: Duration = Duration::from_millis(600);

/// Time for an answer before others are asked to probe, and between two such rounds.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for any answer, from the first probe on.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Most probes for other routers that are remembered.
const MAX_RELAYED: usize = 64;

/// A probe without an answer so far.
#[derive(Debug)]
struct Outstanding {
    target: RouterName,
    number: u32,
    sent: Instant,
    rounds: u32,
}

/// A probe made for another router.
#[derive(Debug)]
struct Relayed {
    number: u32,
    asked_by: RouterName,
    asked_number: u32,
}

/// What is to be done next.
#[derive(Debug, PartialEq, Eq)]
pub enum ProbeAction {
    /// Wait.
    Wait,
    /// Probe a router.
    Probe,
    /// Probe `target` again under `number`, and ask others to do so as well.
    ProbeAgain {
        /// Router that has not answered.
        target: RouterName,
        /// Number of the probe.
        number: u32,
    },
    /// `target` answers nobody.
    Suspect(RouterName),
}

/// The probes of one router.
#[derive(Debug, Default)]
pub struct Prober {
    outstanding: Option<Outstanding>,
    relayed: VecDeque<Relayed>,
    number: u32,
    due: Instant,
}

impl Prober {
    /// Returns what is due at `now`.
    pub fn next_action(&mut self, now: Instant) -> ProbeAction {
        let Some(probe) = &mut self.outstanding else {
            return if now >= self.due {
                ProbeAction::Probe
            } else {
                ProbeAction::Wait
            };
        };
        let age = now.since(probe.sent);
        if age >= PROBE_TIMEOUT {
            let target = probe.target.clone();
            self.outstanding = None;
            return ProbeAction::Suspect(target);
        }
        if age >= ACK_TIMEOUT * (probe.rounds + 1) {
            probe.rounds += 1;
            let target = probe.target.clone();
            let number = probe.number;
            return ProbeAction::ProbeAgain { target, number };
        }
        ProbeAction::Wait
    }

    /// Starts a probe of `target`, and returns its number.
    pub fn start(&mut self, target: &RouterName, now: Instant) -> u32 {
        let number = self.next_number();
        self.due = now + PROBE_PERIOD;
        self.outstanding = Some(Outstanding {
            target: target.clone(),
            number,
            sent: now,
            rounds: 0,
        });
        number
    }

    /// Starts a probe for another router, and returns its number.
    pub fn start_relayed(&mut self, asked_by: &RouterName, asked_number: u32) -> u32 {
        let number = self.next_number();
        if self.relayed.len() >= MAX_RELAYED {
            self.relayed.pop_front();
        }
        self.relayed.push_back(Relayed {
            number,
            asked_by: asked_by.clone(),
            asked_number,
        });
        number
    }

    /// Takes an answer; returns to whom, and under which number, it is to be passed on.
    pub fn acknowledge(&mut self, number: u32) -> Option<(RouterName, u32)> {
        if self
            .outstanding
            .as_ref()
            .is_some_and(|probe| probe.number == number)
        {
            self.outstanding = None;
        }
        let at = self
            .relayed
            .iter()
            .position(|relayed| relayed.number == number)?;
        let relayed = self.relayed.remove(at)?;
        Some((relayed.asked_by, relayed.asked_number))
    }

    /// Drops the probe that is out, because this router was paused itself.
    pub fn cancel(&mut self) {
        self.outstanding = None;
    }

    fn next_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }
}
