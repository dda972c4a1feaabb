//! Merges the datagrams of other routers and decides on the answers.

use std::sync::Arc;

use super::{ClockSample, Gossip, Outgoing, PROBE_RESERVE_BYTES};
use crate::{
    membership::{Datagram, DatagramKind, Epoch, Health, Peer, Update, View},
    Instant, RouterName,
};

impl Gossip {
    /// Merges a datagram and returns the answers to it.
    pub fn receive(
        &mut self,
        view: &mut View,
        datagram: &Datagram,
        at: ClockSample,
    ) -> Vec<Outgoing> {
        self.last_received = at.now;
        for update in &datagram.updates {
            self.merge_update(view, update, at.now);
        }
        let Some(sender) = view.peer(&datagram.from).cloned() else {
            return Vec::new();
        };
        self.merge_sender(view, &sender, datagram.epoch, at);
        self.correct_sender(view, &sender, &datagram.updates, at);
        self.answer(view, &sender, &datagram.kind, at);
        std::mem::take(&mut self.outgoing)
    }

    fn merge_update(&mut self, view: &mut View, update: &Update, now: Instant) {
        match update {
            Update::Health {
                name,
                epoch,
                health,
            } if *name == self.me => {
                self.refute(*epoch, *health);
            }
            Update::Health {
                name,
                epoch,
                health: Health::Alive,
            } if view.member_state(name).is_suspect_of_unknown_incarnation() => {
                self.carry_over_suspicion(view, name, *epoch, now);
            }
            Update::Load(_) | Update::ConfigHead(_) => drop(view.apply_update(update, now)),
            _ if view.apply_update(update, now) => self.queue.push(update.clone()),
            _ => {}
        }
    }

    /// Carries a suspicion over to the epoch of a router whose epoch was unknown so far.
    ///
    /// The suspect has not answered this router, and the other routers ignore a suspicion of an
    /// earlier epoch than the one they know.
    fn carry_over_suspicion(
        &mut self,
        view: &mut View,
        name: &RouterName,
        epoch: Epoch,
        now: Instant,
    ) {
        if view.apply_health(name, epoch, Health::Suspect, now) {
            self.queue_health(name, epoch, Health::Suspect);
        }
    }

    /// Sends the known later epochs to a sender that reports routers as failed in earlier ones.
    fn correct_sender(&mut self, view: &View, sender: &Peer, updates: &[Update], at: ClockSample) {
        let known: Vec<_> = updates
            .iter()
            .filter_map(|update| later_epoch(view, update))
            .collect();
        if !known.is_empty() {
            self.send(sender, DatagramKind::Gossip, known, PROBE_RESERVE_BYTES, at);
        }
    }

    /// Raises the epoch of this router above one that is reported as suspect or dead.
    fn refute(&mut self, epoch: Epoch, health: Health) {
        if health == Health::Alive || epoch < self.epoch {
            return;
        }
        self.epoch = Epoch {
            incarnation: epoch.incarnation,
            refutation: epoch.refutation + 1,
        };
        let me = self.me.clone();
        self.queue_health(&me, self.epoch, Health::Alive);
    }

    /// Records that a sender is alive in its epoch.
    ///
    /// A sender that is still believed suspect or dead receives that report, so that it can refute
    /// it.
    fn merge_sender(&mut self, view: &mut View, sender: &Arc<Peer>, epoch: Epoch, at: ClockSample) {
        let before = view.member_state(&sender.name).health;
        let changed = view.apply_health(&sender.name, epoch, Health::Alive, at.now);
        if changed && before != Health::Alive {
            self.queue_health(&sender.name, epoch, Health::Alive);
        }
        let known = view.member_state(&sender.name);
        if known.health != Health::Alive {
            let update = Update::Health {
                name: sender.name.clone(),
                epoch: known.epoch,
                health: known.health,
            };
            self.send(sender, DatagramKind::Gossip, vec![update], 0, at);
        }
    }

    fn answer(
        &mut self,
        view: &mut View,
        sender: &Arc<Peer>,
        kind: &DatagramKind,
        at: ClockSample,
    ) {
        match kind {
            DatagramKind::Gossip => {}
            DatagramKind::LoadReport(sum) => drop(view.apply_report(sum, at.now)),
            DatagramKind::Probe(number) => {
                self.send_with_updates(view, sender, DatagramKind::Ack(*number), at);
            }
            DatagramKind::IndirectProbe { number, target } => {
                if let Some(target) = view.peer(target).cloned() {
                    let number = self.prober.start_relayed(&sender.name, *number);
                    self.send_with_updates(view, &target, DatagramKind::Probe(number), at);
                }
            }
            DatagramKind::Ack(number) => {
                let relayed_for = self.prober.acknowledge(*number);
                let requester = relayed_for.and_then(|(name, number)| {
                    let peer = view.peer(&name).cloned()?;
                    Some((peer, number))
                });
                if let Some((peer, number)) = requester {
                    self.send_with_updates(view, &peer, DatagramKind::Ack(number), at);
                }
            }
        }
    }
}

/// Returns the known health of a router if `reported` is a failure of an earlier epoch.
fn later_epoch(view: &View, reported: &Update) -> Option<Update> {
    let Update::Health {
        name,
        epoch,
        health,
    } = reported
    else {
        return None;
    };
    let known = view.member_state(name);
    let is_outdated = *health != Health::Alive && *epoch < known.epoch;
    is_outdated.then(|| Update::Health {
        name: name.clone(),
        epoch: known.epoch,
        health: known.health,
    })
}
