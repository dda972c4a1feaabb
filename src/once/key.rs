//! Idempotency keys, which identify calls that run at most once.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use super::PARTITIONS;
use crate::{
    lookup::Ticket, peer::Authenticator, CallKey, Category, Error, Result, ServiceName, TeamName,
    UnixMillis,
};

/// Maximum age of a key whose call may be run; shorter than the retention of the log.
pub const KEY_MAX_AGE: Duration = Duration::from_secs(24 * 3600);

/// Largest difference assumed between any two clocks.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Key of a call, unique within its team and service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// Team that calls.
    pub team: TeamName,
    /// Service that is called.
    pub service: ServiceName,
    /// Key chosen by the caller.
    pub call: CallKey,
}

impl IdempotencyKey {
    /// Returns the partition that holds the claims of this key.
    pub fn partition(&self) -> usize {
        (xxh3_64(self.to_string().as_bytes()) % PARTITIONS as u64) as usize
    }

    /// Checks the age of the key against [`KEY_MAX_AGE`] and returns the time of its issue.
    ///
    /// # Errors
    ///
    /// Returns [`Category::BadInput`] when the key is neither a UUIDv7 nor a ticket, and
    /// [`Category::KeyExpired`] when it is too old or was issued in the future. The call of
    /// a key that is too old may have run earlier.
    pub fn check_age(&self, authenticator: &Authenticator, now: UnixMillis) -> Result<UnixMillis> {
        let issued = self.issued(authenticator)?;
        if now.since(issued) > KEY_MAX_AGE {
            let message = "the idempotency key exceeds its maximum age";
            return Err(Error::may_have_run(Category::KeyExpired, message));
        }
        if issued.since(now) > MAX_CLOCK_SKEW {
            let message = "the idempotency key was issued in the future";
            return Err(Error::not_run(Category::KeyExpired, message));
        }
        Ok(issued)
    }

    fn issued(&self, authenticator: &Authenticator) -> Result<UnixMillis> {
        let text = self.call.as_str();
        let uuid_timestamp = || uuid_timestamp(text);
        let issued = Ticket::verify(text, authenticator).or_else(uuid_timestamp);
        let malformed = "an Idempotency-Key is a UUIDv7 or a ticket from /v1/route";
        issued.ok_or_else(|| Error::not_run(Category::BadInput, malformed))
    }
}

fn uuid_timestamp(text: &str) -> Option<UnixMillis> {
    let uuid = Uuid::parse_str(text).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (secs, nanos) = uuid.get_timestamp()?.to_unix();
    Some(UnixMillis(secs * 1_000 + u64::from(nanos) / 1_000_000))
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.team, self.service, self.call)
    }
}
