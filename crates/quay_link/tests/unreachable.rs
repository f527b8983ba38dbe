//! What a peer that does not answer gets.

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

/// Time for which the peer is asked.
const ASKED: Duration = Duration::from_secs(3);

/// Patience of one question: less than a try to connect may take.
const PATIENCE: Duration = Duration::from_millis(250);

/// Least time from one try to the next.
const TRY_EVERY: Duration = Duration::from_millis(600);

/// The connection that a datagram asks for, if it is the first of one.
fn wanted(datagram: &[u8]) -> Option<Vec<u8>> {
    // Long header: flags, version, length of the destination's number, number.
    let len = usize::from(*datagram.get(5)?);
    let long = datagram[0] & 0x80 != 0;
    long.then(|| datagram.get(6..6 + len).map(<[u8]>::to_vec))?
}

/// Collects what a silent peer is sent.
fn silent_peer() -> (SocketAddr, thread::JoinHandle<usize>) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("port");
    let addr = socket.local_addr().expect("address");
    socket
        .set_read_timeout(Some(ASKED / 2))
        .expect("read timeout");
    let heard = thread::spawn(move || {
        let mut connections = HashSet::new();
        let mut buf = [0; 16 << 10];
        while let Ok(len) = socket.recv(&mut buf) {
            connections.extend(wanted(&buf[..len]));
        }
        connections.len()
    });
    (addr, heard)
}

#[tokio::test]
async fn askers_that_give_up_do_not_make_more_tries_to_connect() {
    let keys = DevelopmentKeys::generate().expect("keys");
    let identity = keys.identity(LinkRole::Entry).expect("identity");
    let (peer, heard) = silent_peer();
    let links = Links::start_on_runtime(LinkSettings::new(identity), |_| {}).expect("links");
    let began = Instant::now();
    let mut askers = Vec::new();
    while began.elapsed() < ASKED {
        let links = links.clone();
        askers.push(tokio::spawn(async move {
            let asked = links.open_async(peer, LinkRole::Ledger, &"hi");
            timeout(PATIENCE, asked).await.is_ok_and(|it| it.is_ok())
        }));
        sleep(Duration::from_millis(5)).await;
    }
    for asker in askers {
        assert!(!asker.await.expect("asker"), "nobody is there");
    }
    // A slower machine asks for longer, and may try more often then.
    let spans = began.elapsed().as_millis() / TRY_EVERY.as_millis();
    drop(links);
    let tries = tokio::task::spawn_blocking(move || heard.join().expect("peer"));
    let tries = tries.await.expect("peer") as u128;
    assert!(tries <= spans + 2, "{tries} tries in {spans} spans");
}
