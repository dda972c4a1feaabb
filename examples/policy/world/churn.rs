//! Engines that join, leave and flap.

use super::{
    super::{
        engines::{Sim, SPLIT},
        trace::{Churn, SECOND},
    },
    Event, World,
};

/// How long a flapping engine is away.
const FLAP: u64 = 4 * SECOND;

impl World<'_> {
    pub(super) fn change(&mut self, change: Churn) {
        match change {
            Churn::Join => self.join(self.sims.len()),
            Churn::Flap => {
                let flapper = self.live().into_iter().find(|at| self.is_flapper(*at));
                if let Some(at) = flapper {
                    self.leave(at);
                }
                self.schedule(self.now + FLAP, Event::Return(0));
            }
            Churn::Leave(choice) => {
                let live: Vec<_> = self.live();
                let stable: Vec<_> = live.iter().filter(|at| !self.is_flapper(**at)).collect();
                let at = *stable[choice as usize % stable.len()];
                self.leave(at);
            }
        }
    }

    pub(super) fn is_flapper(&self, at: usize) -> bool {
        self.sims[at].engine.name.as_str() == "engine-0"
    }

    pub(super) fn join(&mut self, number: usize) {
        self.sims.push(Sim::new(number, self.now, self.now));
    }

    pub(super) fn leave(&mut self, at: usize) {
        self.sims[at].left = Some(self.now);
        let name = self.sims[at].engine.name.clone();
        self.failures.entry(name).or_default().push(self.now);
    }

    /// Returns whether the set of engines has changed within the last [`SPLIT`].
    pub(super) fn is_split(&self) -> bool {
        let from = self.now.saturating_sub(SPLIT);
        self.sims.iter().any(|sim| sim.changed_since(from))
    }

    pub(super) fn live(&self) -> Vec<usize> {
        let live = |at: &usize| self.sims[*at].is_live(self.now);
        (0..self.sims.len()).filter(live).collect()
    }
}
