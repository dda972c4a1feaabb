//! Changes of the set of engines: joins, leaves and a flapping engine.

use super::{
    super::{
        engines::{SimulatedEngine, MAX_ANNOUNCEMENT_LAG},
        trace::{EngineChange, SECOND},
    },
    Event, Simulation,
};

/// Time between the leave and the return of the flapping engine.
const FLAP_DURATION: u64 = 4 * SECOND;

impl Simulation<'_> {
    pub(super) fn change_engines(&mut self, change: EngineChange) {
        match change {
            EngineChange::Join => self.join(self.engines.len()),
            EngineChange::Flap => {
                let flapper = self
                    .live()
                    .into_iter()
                    .find(|index| self.is_flapper(*index));
                if let Some(index) = flapper {
                    self.leave(index);
                }
                self.schedule(self.now + FLAP_DURATION, Event::Return(0));
            }
            EngineChange::Leave(choice) => {
                let live: Vec<_> = self.live();
                let stable: Vec<_> = live
                    .iter()
                    .filter(|index| !self.is_flapper(**index))
                    .collect();
                let index = *stable[choice as usize % stable.len()];
                self.leave(index);
            }
        }
    }

    pub(super) fn is_flapper(&self, index: usize) -> bool {
        self.engines[index].engine.name.as_str() == "engine-0"
    }

    pub(super) fn join(&mut self, number: usize) {
        self.engines
            .push(SimulatedEngine::new(number, self.now, self.now));
    }

    pub(super) fn leave(&mut self, index: usize) {
        self.engines[index].left = Some(self.now);
        let name = self.engines[index].engine.name.clone();
        self.failures.entry(name).or_default().push(self.now);
    }

    /// Returns whether the set of engines has changed within the last
    /// [`MAX_ANNOUNCEMENT_LAG`], so that routers may hold different lists.
    pub(super) fn lists_may_differ(&self) -> bool {
        let from = self.now.saturating_sub(MAX_ANNOUNCEMENT_LAG);
        self.engines.iter().any(|engine| engine.changed_since(from))
    }

    pub(super) fn live(&self) -> Vec<usize> {
        let live = |index: &usize| self.engines[*index].is_live(self.now);
        (0..self.engines.len()).filter(live).collect()
    }
}
