//! The listener for peer connections, with valid, unauthenticated and malformed clients.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use ebonyspur::{
    admission::CrashRisk,
    config::Secret,
    once::{ClaimRequest, IdempotencyKey},
    peer::{serve, Authenticator, PeerClient, Purpose, MAX_UNAUTHENTICATED_CONNECTIONS},
    steward::{GrantId, GrantReply, GrantRequest, LoadLimit},
    CallKey, EngineName, Incarnation, Router, RouterName, ServiceName, Settings, TeamName,
    UnixMillis,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const SETTINGS: &str = "
router: {name: router-1, failure_domain: d1}
listen: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3'}
platform: {url: 'http://127.0.0.1:4'}
peers: {keys: [key-of-the-test-fleet]}
";

async fn start() -> (Arc<Router>, SocketAddr) {
    let cx = Router::new(Settings::from_yaml(SETTINGS).expect("sound settings"));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(serve(cx.clone(), listener));
    (cx, address)
}

fn peer_client(key: &str) -> PeerClient {
    let authenticator = Authenticator::new(&[Secret::new(key)], Purpose::Frame);
    let caller = RouterName::new("router-2").expect("a valid name");
    PeerClient::new(caller, Incarnation(1), authenticator)
}

fn grant_request() -> GrantRequest {
    GrantRequest {
        engine: EngineName::new("engine-1").expect("a valid name"),
        incarnation: Incarnation(1),
        grant: GrantId(1),
        waiting: 0,
        limit: LoadLimit::Bound,
        crash_risk: CrashRisk::Low,
    }
}

fn server_name() -> RouterName {
    RouterName::new("router-1").expect("a valid name")
}

async fn call(address: SocketAddr, key: &str) -> Option<GrantReply> {
    peer_client(key)
        .call(&server_name(), address, grant_request())
        .await
        .ok()
}

/// Returns whether the other end closes the connection within 30 seconds.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    let end = tokio::time::timeout(Duration::from_secs(30), stream.read_to_end(&mut rest));
    end.await.is_ok()
}

#[tokio::test]
async fn only_clients_with_a_shared_key_get_replies() {
    let (cx, address) = start().await;
    assert_eq!(
        call(address, "key-of-the-test-fleet").await,
        Some(GrantReply::NotSteward)
    );
    assert_eq!(call(address, "key-of-a-stranger----").await, None);
    while cx.metrics.peer_connections_refused.get() == 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn malformed_bytes_close_the_connection_and_are_counted_as_refused() {
    let (cx, address) = start().await;
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 600], &[16, 0, 0, 0]] {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(bytes).await.expect("a sent message");
        assert!(is_closed(&mut stream).await);
    }
    assert_eq!(cx.metrics.peer_connections_refused.get(), 3);
    assert!(call(address, "key-of-the-test-fleet").await.is_some());
}

#[tokio::test]
async fn unauthenticated_connections_are_limited_in_number_and_duration() {
    let (cx, address) = start().await;
    let mut idle = Vec::new();
    for _ in 0..MAX_UNAUTHENTICATED_CONNECTIONS + 10 {
        idle.push(TcpStream::connect(address).await.expect("a connection"));
    }
    for stream in &mut idle[MAX_UNAUTHENTICATED_CONNECTIONS..] {
        let end = stream.read(&mut [0; 64]).await;
        assert!(
            matches!(end, Ok(0) | Err(_)),
            "a connection above the limit is closed at once"
        );
    }
    for stream in &mut idle {
        assert!(is_closed(stream).await);
    }
    let refused = cx.metrics.peer_connections_refused.get();
    assert_eq!(refused, MAX_UNAUTHENTICATED_CONNECTIONS as u64 + 10);
    assert!(call(address, "key-of-the-test-fleet").await.is_some());
}

#[tokio::test]
async fn a_silent_connection_is_replaced_by_a_new_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (_, server) = start().await;
    let authenticator = Authenticator::new(&[Secret::new("key-of-the-test-fleet")], Purpose::Frame);
    let caller = RouterName::new("router-2").expect("a valid name");
    let client = PeerClient::new(caller, Incarnation(1), authenticator);
    let proxy = tokio::spawn(proxy_connections(listener, server));
    let name = RouterName::new("router-1").expect("a valid name");
    let call_with_grant = |grant| {
        let req = GrantRequest {
            engine: EngineName::new("engine-1").expect("a valid name"),
            incarnation: Incarnation(1),
            grant: GrantId(grant),
            waiting: 0,
            limit: LoadLimit::Bound,
            crash_risk: CrashRisk::Low,
        };
        client.call(&name, address, req)
    };
    assert!(call_with_grant(1).await.is_ok());
    assert!(
        call_with_grant(2).await.is_err(),
        "the connection is silent"
    );
    let mut grant = 3;
    while call_with_grant(grant).await.is_err() {
        grant += 1;
        assert!(grant < 8, "calls still use the silent connection");
    }
    proxy.abort();
}

/// Forwards connections; the first one forwards nothing more after one reply.
async fn proxy_connections(listener: TcpListener, server: SocketAddr) -> io::Result<()> {
    let mut silent = Vec::new();
    loop {
        let (mut near, _) = listener.accept().await?;
        let mut far = TcpStream::connect(server).await?;
        if silent.is_empty() {
            forward_once(&mut far, &mut near).await?;
            forward_once(&mut near, &mut far).await?;
            forward_once(&mut far, &mut near).await?;
            silent.push((near, far));
        } else {
            tokio::spawn(async move { tokio::io::copy_bidirectional(&mut near, &mut far).await });
        }
    }
}

/// Forwards one read from `from` to `to`.
async fn forward_once(from: &mut TcpStream, to: &mut TcpStream) -> io::Result<()> {
    let mut buf = [0; 4_096];
    let len = from.read(&mut buf).await?;
    to.write_all(&buf[..len]).await
}

#[tokio::test]
async fn a_delayed_reply_does_not_delay_later_calls() {
    let (_cx, address) = start().await;
    let (client, server) = (peer_client("key-of-the-test-fleet"), server_name());
    let key = IdempotencyKey {
        team: TeamName::new("kerb").expect("a valid name"),
        service: ServiceName::new("trade").expect("a valid name"),
        call: CallKey::new("a").expect("a valid name"),
    };
    let claim = ClaimRequest {
        key,
        issued: UnixMillis(0),
        nonce: 1,
        append: true,
    };
    // Nothing reads the log in this test, so the reply to the claim is delayed.
    let first = tokio::select! {
        biased;
        _ = client.call(&server, address, claim) => "claim",
        _ = client.call(&server, address, grant_request()) => "grant",
    };
    assert_eq!(first, "grant");
}
