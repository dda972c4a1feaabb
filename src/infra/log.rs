//! Client of the platform's log service, which keeps append-only streams of records.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::JsonClient;
use crate::{Offset, Result};

/// Longest time for a response, on top of the wait that a read asks for.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Position of the record in its stream.
    pub offset: Offset,
    /// Content of the record.
    pub data: Value,
}

/// A contiguous part of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record that the service still keeps.
    pub first: Offset,
    /// Offset that the next appended record will get.
    pub head: Offset,
    /// Records from the requested offset on, without gaps.
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

    /// Appends `entries` to `stream` in one operation, and returns their offsets.
    ///
    /// # Errors
    ///
    /// Fails when no valid response arrives in time. After the verdict "may have run", the
    /// entries may already be in the stream or may still be appended.
    pub async fn append(&self, stream: &str, entries: &[Value]) -> Result<Vec<Offset>> {
        let path = format!("/v1/log/{stream}");
        let response: Appended = self
            .client
            .post(&path, &Append { entries }, RESPONSE_TIMEOUT)
            .await?;
        Ok(response.offsets)
    }

    /// Reads `stream` from offset `from`, and waits up to `wait` for the first record.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Category::KeyExpired`] when the service no longer keeps the record at
    /// `from`, and other errors when no valid response arrives in time.
    pub async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/log/{stream}?from={from}&wait_ms={wait_ms}");
        self.client.get(&path, wait + RESPONSE_TIMEOUT).await
    }
}
