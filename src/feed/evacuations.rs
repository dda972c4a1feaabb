//! Distribution of evacuations of failure domains.

use super::{Feed, Position};
use crate::{
    evacuation::{EvacuationNews, EvacuationReport, EvacuationsRead},
    Instant,
};

impl Feed {
    /// Applies the evacuations of a read of the store that ended at `now` and included all changes
    /// before `next`.
    pub fn apply_evacuations(&self, read: &EvacuationsRead, next: Position, now: Instant) {
        let news = self.evacuations.apply(read, next, now);
        self.pass_evacuations_on(&news, "store", now);
    }

    /// Applies the evacuations that another router knows.
    pub fn receive_evacuations(&self, report: &EvacuationReport, now: Instant) {
        let news = self.evacuations.receive(report, now);
        self.pass_evacuations_on(&news, "router", now);
    }

    /// Ends evacuations that a restored store has not listed again in time.
    pub(super) fn settle_evacuations(&self, now: Instant) {
        let news = self.evacuations.settle(now);
        self.pass_evacuations_on(&news, "delay", now);
    }

    /// Logs what has changed, treats servers that get requests again as cold, and notifies subscribers.
    fn pass_evacuations_on(&self, news: &EvacuationNews, source: &str, now: Instant) {
        if news.is_empty() {
            return;
        }
        let Position { era, offset } = self.evacuations.version().position;
        for domain in &news.begun {
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
            ("ended", &news.ended),
            ("doubted", &news.doubted),
            ("confirmed", &news.confirmed),
        ] {
            for domain in domains {
                log::info!(
                    "evacuation {what} domain={domain} era={era} next={offset} source={source}"
                );
            }
        }
        // Their servers may have lost what made them fast, whatever their last registrations state.
        for domain in &news.ended {
            self.record_returned(domain, now);
        }
        self.notify_change();
    }
}
