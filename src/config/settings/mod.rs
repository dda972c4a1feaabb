//! The settings file of a router, which is validated as a whole at startup.

mod reader;

use std::{net::SocketAddr, path::Path, time::Duration};

use self::reader::Reader;
use crate::{DomainName, Error, Result, RouterName, TeamName};

/// Settings of one router process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this router.
    pub name: RouterName,
    /// Failure domain of this router.
    pub domain: DomainName,
    /// Addresses that this router listens on.
    pub listen: ListenAddresses,
    /// Base URL of the platform's services, such as `http://127.0.0.1:6000`.
    pub platform: http::Uri,
    /// Base URL of the log service, when it differs from the platform's.
    pub log: Option<http::Uri>,
    /// Keys that authenticate peers: the first one signs, and all of them are accepted.
    pub peer_keys: Vec<Secret>,
    /// Operators who may use the administration interface.
    pub operators: Vec<Operator>,
    /// Limits on callers, and timeouts.
    pub limits: Limits,
}

/// Addresses that a router listens on.
#[derive(Debug, Clone)]
pub struct ListenAddresses {
    /// Address for callers, over HTTP.
    pub callers: SocketAddr,
    /// Address for other routers, over TCP and UDP.
    pub peers: SocketAddr,
    /// Address for operators, over HTTP.
    pub operators: SocketAddr,
}

/// An operator who may use the administration interface.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Name of the operator, which is recorded with each change.
    pub name: String,
    /// Bearer token that authenticates the operator.
    pub token: Secret,
    /// Teams that the operator may change; when absent, the operator may change all objects.
    pub teams: Option<Vec<TeamName>>,
}

/// A secret whose `Debug` output hides its bytes, so that it is neither logged nor dumped.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Creates a secret from its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Secret(bytes.into())
    }

    /// Returns the bytes of the secret.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("***")
    }
}

/// Limits on callers, and timeouts.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Longest time for a caller to send its headers or its body.
    pub receive_timeout: Duration,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time that a backend server may send nothing during a request.
    pub progress_timeout: Duration,
    /// Longest time that a request waits for an engine.
    pub queue_timeout: Duration,
    /// Longest time that a leaving router waits for its requests in flight.
    pub drain_timeout: Duration,
}

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Category::Settings`] when the file cannot be read, and for the faults
    /// that [`Settings::from_yaml`] reports; each line begins with the path of the file.
    pub fn from_file(path: &Path) -> Result<Self> {
        let in_file = |line: &str| format!("{}: {line}", path.display());
        let text = std::fs::read_to_string(path)
            .map_err(|err| settings_error(&[in_file(&err.to_string())]))?;
        Settings::from_yaml(&text).map_err(|err| {
            let lines: Vec<_> = err.message().lines().map(in_file).collect();
            settings_error(&lines)
        })
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Category::Settings`] with all faults, one on each line, with the path of
    /// the key and the allowed values.
    ///
    /// # Examples
    ///
    /// ```
    /// use ebonyspur::config::Settings;
    ///
    /// let err = Settings::from_yaml("router: {name: r1}\ncolour: blue\n").unwrap_err();
    /// assert!(err.message().contains("colour: unknown key"));
    /// ```
    pub fn from_yaml(text: &str) -> Result<Self> {
        let mut root = Reader::parse(text)?;
        let settings = Settings {
            name: root.section("router").required("name"),
            domain: root.section("router").required("failure_domain"),
            listen: read_listen(&mut root),
            platform: root.section("platform").url("url"),
            log: root.section("platform").optional_url("log_url"),
            peer_keys: root.section("peers").secrets("keys"),
            operators: read_operators(&mut root),
            limits: read_limits(&mut root),
        };
        root.finish(settings)
    }
}

fn read_listen(root: &mut Reader) -> ListenAddresses {
    let mut listen = root.section("listen");
    ListenAddresses {
        callers: listen.address("callers"),
        peers: listen.address("peers"),
        operators: listen.address("operators"),
    }
}

fn read_operators(root: &mut Reader) -> Vec<Operator> {
    let mut operators = Vec::new();
    for mut item in root.items("operators") {
        operators.push(Operator {
            name: item.required::<RouterName>("name").to_string(),
            token: item.secret("token"),
            teams: item.names("teams"),
        });
    }
    operators
}

fn read_limits(root: &mut Reader) -> Limits {
    let mut limits = root.section("limits");
    Limits {
        max_body_bytes: limits.number("body_bytes", 1_048_576, 1_024..=67_108_864) as usize,
        max_connections: limits.number("connections", 4_096, 1..=1_000_000) as usize,
        receive_timeout: limits.millis("receive_ms", 10_000, 100..=600_000),
        connect_timeout: limits.millis("connect_ms", 1_000, 10..=60_000),
        progress_timeout: limits.millis("progress_ms", 10_000, 100..=600_000),
        queue_timeout: limits.millis("queue_ms", 5_000, 0..=600_000),
        drain_timeout: limits.millis("drain_ms", 60_000, 0..=3_600_000),
    }
}

/// Builds the error for a settings file with faults.
fn settings_error(faults: &[String]) -> Error {
    Error::not_run(crate::Category::Settings, faults.join("\n"))
}
