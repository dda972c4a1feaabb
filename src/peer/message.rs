//! The requests and replies that routers exchange.
//!
//! Each slice defines the messages of its own calls; this module lists all of them.

use serde::{Deserialize, Serialize};

use crate::{
    admission::{BeginCanary, BeginCanaryReply, CrashRecord, CrashReport, EndCanary},
    config::{ConfigHeadRequest, ConfigSinceReply, ConfigSinceRequest},
    once::{KeyReply, KeyRequest},
    steward::{
        GrantReply, GrantRequest, HandOver, HandOverRequest, ReleaseRequest, RenewReply,
        RenewRequest,
    },
    Incarnation, Offset, RouterName,
};

/// Identity of the router that opens a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Router that opened the connection.
    pub router: RouterName,
    /// Incarnation of that router, which is higher after each restart.
    pub incarnation: Incarnation,
}

/// A request to another router, as sent on the wire.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Asks an engine's steward for the grant to send a request to the engine.
    Grant(GrantRequest),
    /// Returns a grant to the engine's steward.
    Release(ReleaseRequest),
    /// Asks for the log offset up to which the router has applied the configuration.
    ConfigHead(ConfigHeadRequest),
    /// Asks for the configuration changes since an offset.
    ConfigSince(ConfigSinceRequest),
    /// Asks for the state dump of the router.
    Dump,
    /// Reports the grants that the calling router holds, to renew them.
    Renew(RenewRequest),
    /// Asks the previous steward of an engine for its record of grants.
    HandOver(HandOverRequest),
    /// Asks about the idempotency key of a call that runs at most once.
    Key(KeyRequest),
    /// Asks for the known history of engine crashes by request.
    CrashHistory,
    /// Asks for permission to run a request that might crash engines, as a canary.
    BeginCanary(BeginCanary),
    /// Reports that a canary run has ended.
    EndCanary(EndCanary),
    /// Reports the crash of an engine.
    CrashReport(CrashReport),
}

/// The reply to a [`Request`], as sent on the wire.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`Request::Grant`].
    Grant(GrantReply),
    /// Reply to [`Request::Release`].
    Released,
    /// Reply to [`Request::ConfigHead`]; `None` until the router has read the configuration.
    ConfigHead(Option<Offset>),
    /// Reply to [`Request::ConfigSince`].
    ConfigSince(ConfigSinceReply),
    /// Reply to [`Request::Dump`], as JSON text.
    Dump(String),
    /// Reply to [`Request::Renew`].
    Renew(RenewReply),
    /// Reply to [`Request::HandOver`].
    HandOver(Option<HandOver>),
    /// Reply to [`Request::Key`].
    Key(KeyReply),
    /// Reply to [`Request::CrashHistory`].
    CrashHistory(Vec<CrashRecord>),
    /// Reply to [`Request::BeginCanary`].
    BeginCanary(BeginCanaryReply),
    /// Reply to [`Request::EndCanary`] and [`Request::CrashReport`].
    Ack,
}

/// A typed call, which ties a request to the type of its reply.
pub trait Call {
    /// Content of the reply.
    type Answer;

    /// Converts the call into the request that is sent.
    fn into_request(self) -> Request;

    /// Returns the content of `reply`; `None` when the reply belongs to another kind of call.
    fn from_reply(reply: Reply) -> Option<Self::Answer>;
}

/// Asks a router for its state dump, as JSON text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DumpRequest;

impl Call for DumpRequest {
    type Answer = String;

    fn into_request(self) -> Request {
        Request::Dump
    }

    fn from_reply(reply: Reply) -> Option<String> {
        match reply {
            Reply::Dump(text) => Some(text),
            _ => None,
        }
    }
}

/// A request or reply with the number by which a reply is matched to its request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Envelope<T> {
    /// Number chosen by the calling router, unique among its pending calls of a connection.
    pub(super) number: u64,
    /// The request or reply.
    pub(super) body: T,
}
