//! The calls that routers make to each other, gathered from the slices.

use serde::{Deserialize, Serialize};

use crate::{
    admission::{AccuseRequest, BeginTrial, EndTrial, SuspectRecord, TrialAnswer},
    config::{ConfigHead, ConfigPart, ConfigSince},
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
    ConfigHead(ConfigHead),
    /// Asks for newer configuration.
    ConfigSince(ConfigSince),
    /// Asks for the state dump.
    Dump,
    /// Lists the grants held.
    Renew(RenewRequest),
    /// Asks for the book of an engine.
    HandOver(HandOverRequest),
    /// Asks for the suspects known.
    Suspects,
    /// Asks to run a request that might crash engines.
    BeginTrial(BeginTrial),
    /// Tells that such a run has ended.
    EndTrial(EndTrial),
    /// Tells of the death of an engine.
    Accuse(AccuseRequest),
    /// Asks about a call that must not be repeated.
    Key(KeyRequest),
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
    ConfigPart(ConfigPart),
    /// Answer to [`Request::Dump`], as JSON text.
    Dump(String),
    /// Answer to [`Request::Renew`].
    Renew(RenewReply),
    /// Answer to [`Request::HandOver`].
    HandOver(Option<HandOver>),
    /// Answer to [`Request::Suspects`].
    Suspects(Vec<SuspectRecord>),
    /// Answer to [`Request::BeginTrial`].
    Trial(TrialAnswer),
    /// Answer to [`Request::EndTrial`] and [`Request::Accuse`].
    Noted,
    /// Answer to [`Request::Key`].
    Key(KeyReply),
}

/// A typed call: what it asks and what it is answered with.
pub trait Call {
    /// Type of the answer.
    type Answer;

    /// Wraps the call for the wire.
    fn into_request(self) -> Request;

    /// Unwraps the answer; `None` when the peer answered another call.
    fn answer(reply: Reply) -> Option<Self::Answer>;
}

/// Asks a router for its state dump, as JSON text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DumpRequest;

impl Call for DumpRequest {
    type Answer = String;

    fn into_request(self) -> Request {
        Request::Dump
    }

    fn answer(reply: Reply) -> Option<String> {
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
