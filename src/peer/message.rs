//! The calls that routers make to each other, gathered from the slices.

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

/// First frame of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Router that opened the connection.
    pub router: RouterName,
    /// Life of that router.
    pub incarnation: Incarnation,
}

/// A call as carried on the wire.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for a slot on an engine.
    Grant(GrantRequest),
    /// Gives a slot back.
    Release(ReleaseRequest),
    /// Asks how far the configuration is applied.
    ConfigHead(ConfigHeadRequest),
    /// Asks for newer configuration.
    ConfigSince(ConfigSinceRequest),
    /// Asks for the state dump.
    Dump,
    /// Lists the grants held.
    Renew(RenewRequest),
    /// Asks for the book of an engine.
    HandOver(HandOverRequest),
    /// Asks about a call that must not be repeated.
    Key(KeyRequest),
    /// Asks for the suspects known.
    CrashHistory,
    /// Asks to run a request that might crash engines.
    BeginCanary(BeginCanary),
    /// Tells that such a run has ended.
    EndCanary(EndCanary),
    /// Tells of the death of an engine.
    CrashReport(CrashReport),
}

/// The answer to a [`Request`] as carried on the wire.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Answer to [`Request::Grant`].
    Grant(GrantReply),
    /// Answer to [`Request::Release`].
    Released,
    /// Answer to [`Request::ConfigHead`]; `None` while the configuration is unknown.
    ConfigHead(Option<Offset>),
    /// Answer to [`Request::ConfigSince`].
    ConfigSince(ConfigSinceReply),
    /// Answer to [`Request::Dump`], as JSON text.
    Dump(String),
    /// Answer to [`Request::Renew`].
    Renew(RenewReply),
    /// Answer to [`Request::HandOver`].
    HandOver(Option<HandOver>),
    /// Answer to [`Request::Key`].
    Key(KeyReply),
    /// Answer to [`Request::CrashHistory`].
    CrashHistory(Vec<CrashRecord>),
    /// Answer to [`Request::BeginCanary`].
    BeginCanary(BeginCanaryReply),
    /// Answer to [`Request::EndCanary`] and [`Request::CrashReport`].
    Ack,
}

/// A typed call: what it asks and what it is answered with.
pub trait Call {
    /// Type of the answer.
    type Answer;

    /// Wraps the call for the wire.
    fn into_request(self) -> Request;

    /// Unwraps the answer; `None` when the peer answered another call.
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

/// A request or reply with the number that ties them together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Envelope<T> {
    /// Number chosen by the router that calls.
    pub(super) number: u64,
    /// The request or reply.
    pub(super) body: T,
}
