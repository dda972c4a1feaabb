//! The log service: append-only streams with offsets.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::JsonClient;
use crate::{Offset, Result};

/// Longest time for an append, and for a read beyond the wait it asked for.
const TIMEOUT: Duration = Duration::from_secs(2);

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the stream.
    pub offset: Offset,
    /// Content of the record.
    pub data: Value,
}

/// A part of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record that is still kept.
    pub first: Offset,
    /// Offset that the next append will get.
    pub head: Offset,
    /// Records from the asked offset on, without gaps.
    pub records: Vec<Entry>,
}

#[derive(Serialize)]
struct Append<'a> {
    entries: &'a [Value],
}

#[derive(Deserialize)]
struct Appended {
    offsets: Vec<Offset>,
}

/// Client of the log service.
#[derive(Debug, Clone)]
pub struct LogService {
    client: JsonClient,
}

impl LogService {
    /// Creates the client.
    pub fn new(client: JsonClient) -> Self {
        LogService { client }
    }

    /// Appends `entries` to `stream` in one operation and returns their offsets.
    ///
    /// # Errors
    ///
    /// With the verdict "may have run" the entries may be in the stream, or may yet
    /// arrive there.
    pub async fn append(&self, stream: &str, entries: &[Value]) -> Result<Vec<Offset>> {
        let path = format!("/v1/log/{stream}");
        let answer: Appended = self
            .client
            .post(&path, &Append { entries }, TIMEOUT)
            .await?;
        Ok(answer.offsets)
    }

    /// Reads `stream` from `from`, holding back an empty answer for up to `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Category::KeyExpired`] when `from` is older than the retention.
    pub async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/log/{stream}?from={from}&wait_ms={wait_ms}");
        self.client.get(&path, wait + TIMEOUT).await
    }
}
