//! Tests connection attempts to a peer that does not answer.

use {
    quay_link::{DevelopmentKeys, LinkRole, LinkSettings, Links},
    std::{
        collections::HashSet,
        net::{SocketAddr, UdpSocket},
        thread,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Time during which requests to the peer are made.
const TEST_DURATION: Duration = Duration::from_secs(3);

/// Time-out of each request; shorter than the time-out of a connection attempt.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Minimum interval between two connection attempts.
const MIN_ATTEMPT_INTERVAL: Duration = Duration::from_millis(600);

/// Destination connection ID of a QUIC packet with a long header, as used during
/// the handshake.
fn destination_connection_id(datagram: &[u8]) -> Option<Vec<u8>> {
    // Long header: flags, version, length of the connection ID, connection ID.
    let len = usize::from(*datagram.get(5)?);
    let long_header = datagram[0] & 0x80 != 0;
    long_header.then(|| datagram.get(6..6 + len).map(<[u8]>::to_vec))?
}

/// Starts a peer that never answers. Its thread returns the number of connection
/// attempts received.
fn unresponsive_peer() -> (SocketAddr, thread::JoinHandle<usize>) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("port");
    let addr = socket.local_addr().expect("address");
    socket
        .set_read_timeout(Some(TEST_DURATION / 2))
        .expect("read timeout");
    let attempts = thread::spawn(move || {
        let mut connections = HashSet::new();
        let mut buf = [0; 16 << 10];
        while let Ok(len) = socket.recv(&mut buf) {
            connections.extend(destination_connection_id(&buf[..len]));
        }
        connections.len()
    });
    (addr, attempts)
}

/// A request that times out must not cancel the connection attempt in progress:
/// no failure would be recorded, and the next request would start another
/// attempt without back-off.
#[tokio::test]
async fn requests_that_time_out_do_not_add_connection_attempts() {
    let keys = DevelopmentKeys::generate().expect("keys");
    let identity = keys.identity(LinkRole::Entry).expect("identity");
    let (peer, attempts) = unresponsive_peer();
    let links = Links::start_on_runtime(LinkSettings::new(identity), |_| {}).expect("links");
    let started = Instant::now();
    let mut requests = Vec::new();
    while started.elapsed() < TEST_DURATION {
        let links = links.clone();
        requests.push(tokio::spawn(async move {
            let opened = links.open_async(peer, LinkRole::Ledger, &"hi");
            timeout(REQUEST_TIMEOUT, opened)
                .await
                .is_ok_and(|result| result.is_ok())
        }));
        sleep(Duration::from_millis(5)).await;
    }
    for request in requests {
        assert!(
            !request.await.expect("request"),
            "a request to the unresponsive peer succeeded"
        );
    }
    // On a slow machine the requests take longer, which permits more attempts.
    let intervals = started.elapsed().as_millis() / MIN_ATTEMPT_INTERVAL.as_millis();
    drop(links);
    let attempts = tokio::task::spawn_blocking(move || attempts.join().expect("peer"));
    let attempts = attempts.await.expect("peer") as u128;
    assert!(
        attempts <= intervals + 2,
        "{attempts} connection attempts in {intervals} intervals"
    );
}
