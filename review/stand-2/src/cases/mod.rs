//! The cases and what they share.

pub mod comment_line;
pub mod crowd_heads;
pub mod cut_event;
pub mod slow_reader;
pub mod two_engines;

use std::sync::atomic::{AtomicU32, Ordering};

/// Key of the only tenant.
pub const KEY: &str = "key-of-kerb";

/// Returns a config with `tenants`: a service of engines and a plain one.
pub fn config(version: u32, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"summary","host":"chats.example","path_prefix":"/summary/","route_kind":"streaming","timeout_ms":15000,"latency_goal_ms":800,"priority":0,"service":"writers","max_attempts":2,"anonymous":false,"sticky":true,"resumable":true,"gap_aim_ms":400}},
{{"name":"book","host":"chats.example","path_prefix":"/book/","route_kind":"unsafe","timeout_ms":1500,"latency_goal_ms":100,"priority":1,"service":"desk","max_attempts":1,"anonymous":false,"sticky":false}},
{{"name":"look","host":"chats.example","path_prefix":"/look/","route_kind":"safe","timeout_ms":1500,"latency_goal_ms":100,"priority":1,"service":"desk","max_attempts":2,"anonymous":false,"sticky":false}}],
"services":[{{"name":"writers","health_path":"/healthz","max_conns":832,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":636500,"kv_token_bytes":18432,"link_mbps":550000.0,"moves":false,"backups":false,"stride":5,"most":2,"model_ids":[{{"name":"m"}}]}}}},
{{"name":"desk","health_path":"/healthz","max_conns":248,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":{tenants}}}"#
    )
}

/// The tenants of most cases.
pub fn one_tenant() -> String {
    format!(r#"[{{"name":"kerb","api_keys":["{KEY}"],"priority":1}}]"#)
}

/// Returns an id that no other request has.
pub fn new_id() -> String {
    static LAST: AtomicU32 = AtomicU32::new(0);
    format!("{:016x}", 0x5a00_0000 + LAST.fetch_add(1, Ordering::SeqCst))
}

/// Returns a request for a stream with the id `id`.
pub fn stream_request(id: &str, key: &str, deadline_ms: u32) -> String {
    let session = 0x1000 + u32::from_str_radix(&id[8..], 16).unwrap_or(0);
    format!(
        "POST /summary/1 HTTP/1.1\r\nHost: chats.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,{session:x}:410,{id}:250\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\nContent-Length: 4\r\n\r\nchat"
    )
}

/// Returns a request to the plain service with the id `id`.
pub fn plain_request(method: &str, path: &str, id: &str, key: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: chats.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token {key}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Returns the piece `number` of a stream as an event.
pub fn event(number: u32) -> String {
    format!("id: {number}\ndata: piece-{number}\n\n")
}
