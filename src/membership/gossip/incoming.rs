//! Decides what a router makes of the datagrams of others.

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
        for rumour in &datagram.updates {
            self.merge(view, rumour, at.now);
        }
        let Some(sender) = view.peer(&datagram.from).cloned() else {
            return Vec::new();
        };
        self.merge_sender(view, &sender, datagram.epoch, at);
        self.correct(view, &sender, &datagram.updates, at);
        self.answer(view, &sender, &datagram.kind, at);
        std::mem::take(&mut self.out)
    }

    fn merge(&mut self, view: &mut View, rumour: &Update, now: Instant) {
        match rumour {
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
                self.keep_suspicion(view, name, *epoch, now);
            }
            Update::Load(_) | Update::ConfigHead(_) => drop(view.apply_update(rumour, now)),
            _ if view.apply_update(rumour, now) => self.news.push(rumour.clone()),
            _ => {}
        }
    }

    /// Suspects the life of a router that is only now heard of, as it has not answered.
    ///
    /// Others ignore what is said of an earlier epoch than they know.
    fn keep_suspicion(&mut self, view: &mut View, name: &RouterName, epoch: Epoch, now: Instant) {
        if view.apply_health(name, epoch, Health::Suspect, now) {
            self.spread_health(name, epoch, Health::Suspect);
        }
    }

    /// Tells a sender that speaks of failures in an earlier epoch which one is known here.
    fn correct(&mut self, view: &View, sender: &Peer, rumours: &[Update], at: ClockSample) {
        let known: Vec<_> = rumours
            .iter()
            .filter_map(|rumour| later_epoch(view, rumour))
            .collect();
        if !known.is_empty() {
            self.send(sender, DatagramKind::Gossip, known, PROBE_RESERVE_BYTES, at);
        }
    }

    /// Raises the own number above one that is said to have failed.
    fn refute(&mut self, epoch: Epoch, health: Health) {
        if health == Health::Alive || epoch < self.epoch {
            return;
        }
        self.epoch = Epoch {
            incarnation: epoch.incarnation,
            refutation: epoch.refutation + 1,
        };
        let me = self.me.clone();
        self.spread_health(&me, self.epoch, Health::Alive);
    }

    /// A sender is alive; one that is said not to be is told so, and can refute.
    fn merge_sender(&mut self, view: &mut View, sender: &Arc<Peer>, epoch: Epoch, at: ClockSample) {
        let before = view.member_state(&sender.name).health;
        let news = view.apply_health(&sender.name, epoch, Health::Alive, at.now);
        if news && before != Health::Alive {
            self.spread_health(&sender.name, epoch, Health::Alive);
        }
        let standing = view.member_state(&sender.name);
        if standing.health != Health::Alive {
            let rumour = Update::Health {
                name: sender.name.clone(),
                epoch: standing.epoch,
                health: standing.health,
            };
            self.send(sender, DatagramKind::Gossip, vec![rumour], 0, at);
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
                self.send_with_news(view, sender, DatagramKind::Ack(*number), at);
            }
            DatagramKind::IndirectProbe { number, target } => {
                if let Some(target) = view.peer(target).cloned() {
                    let number = self.prober.start_relayed(&sender.name, *number);
                    self.send_with_news(view, &target, DatagramKind::Probe(number), at);
                }
            }
            DatagramKind::Ack(number) => {
                let passed_on = self.prober.acknowledge(*number);
                let asked_by = passed_on.and_then(|(name, number)| {
                    let peer = view.peer(&name).cloned()?;
                    Some((peer, number))
                });
                if let Some((peer, number)) = asked_by {
                    self.send_with_news(view, &peer, DatagramKind::Ack(number), at);
                }
            }
        }
    }
}

/// Returns what is known of a later epoch than the one that is said to have failed.
fn later_epoch(view: &View, said: &Update) -> Option<Update> {
    let Update::Health {
        name,
        epoch,
        health,
    } = said
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
