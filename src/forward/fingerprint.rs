//! Recognises a request that its caller sends again.

use xxhash_rust::xxh3::Xxh3Default;

use super::{exchange::RequestTemplate, RequestHead};
use crate::admission::Fingerprint;

/// Returns a hash that stays the same when a caller sends the same request again.
pub(super) fn fingerprint(template: &RequestTemplate, head: &RequestHead) -> Fingerprint {
    let mut hash = Xxh3Default::new();
    hash.update(template.method.as_str().as_bytes());
    hash.update(template.uri.to_string().as_bytes());
    hash.update(head.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(&template.body);
    Fingerprint(hash.digest())
}
