//! Distribution of evacuations of failure domains.

use super::{Feed, Position};
use crate::{
    evacuation::{EvacuationDelta, EvacuationReport, EvacuationsRead},
    Instant,
};

impl Feed {
    /// Applies the evacuations of a read of the store that ended at `now` and included all changes
    /// before `next`.
    pub fn apply_evacuations(&self, read: &EvacuationsRead, next: Position, now: Instant) {
        let delta = self.evacuations.apply(read, next, now);
        self.publish_evacuations(&delta, "store", now);
    }

    /// Applies the evacuations that another router knows.
    pub fn receive_evacuations(&self, report: &EvacuationReport, now: Instant) {
        let delta = self.evacuations.receive(report, now);
        self.publish_evacuations(&delta, "router", now);
    }

    /// Ends evacuations that a restored store has not listed again in time.
    pub(super) fn settle_evacuations(&self, now: Instant) {
        let delta = self.evacuations.settle(now);
        self.publish_evacuations(&delta, "delay", now);
    }

    /// Logs what has changed, treats servers that get requests again as cold, and notifies subscribers.
    fn publish_evacuations(&self, delta: &EvacuationDelta, source: &str, now: Instant) {
        if delta.is_empty() {
            return;
        }
        let Position { era, offset } = self.evacuations.version().position;
        for domain in &delta.begun {
            let servers = self.catalog.count_in(domain);
            log::info!(
                "evacuation begun domain={domain} servers={servers} era={era} next={offset} \
                 source={source}"
            );
            if servers == 0 && self.catalog.is_known() {
                log::warn!("no server is known in the evacuated domain domain={domain}");
            }
        }
        for (what, domains) in [
            ("ended", &delta.ended),
            ("doubted", &delta.doubted),
            ("confirmed", &delta.confirmed),
        ] {
            for domain in domains {
                log::info!(
                    "evacuation {what} domain={domain} era={era} next={offset} source={source}"
                );
            }
        }
        // Their servers may have lost what made them fast, whatever their last registrations state.
        for domain in &delta.ended {
            self.record_returned(domain, now);
        }
        self.notify_change();
    }
}
