//! Measures the memory that connections occupy. The only test of its process,
//! since it compares the resident memory of the process.

use {
    quay_link::{DevelopmentKeys, LinkRole, LinkSettings, Links},
    std::{fs, net::Ipv4Addr, time::Duration},
    tokio::sync::mpsc,
};

/// Number of connections to one endpoint: the hosts of a large gateway.
const CONNECTIONS: u64 = 200;

/// Number of streams on one connection, from which the memory of a stream
/// follows.
const STREAMS: u64 = 40;

/// Maximum memory of an idle connection at each of its two ends.
const MAX_IDLE_BYTES: u64 = 50_000;

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm").expect("memory figures");
    let pages = text.split_whitespace().nth(1).expect("resident pages");
    pages.parse::<u64>().expect("number") * PAGE_BYTES
}

#[tokio::test]
async fn an_idle_connection_occupies_little_memory_at_both_ends() {
    let keys = DevelopmentKeys::generate().expect("keys");
    let settings = |role| LinkSettings {
        listen: Some((Ipv4Addr::LOCALHOST, 0).into()),
        receive_timeout: Duration::from_mins(2),
        max_streams: 56,
        ..LinkSettings::new(keys.identity(role).expect("identity"))
    };
    // Both ends keep each stream, which keeps its connection open.
    let (kept, _streams) = mpsc::unbounded_channel();
    let server = Links::start_on_runtime(settings(LinkRole::Ledger), move |incoming| {
        let kept = kept.clone();
        tokio::spawn(async move {
            let _ = incoming.stream.send_async(&1_u32).await;
            let _ = kept.send(incoming.stream);
        });
    });
    let server = server.expect("server");
    let addr = server.local_addr().expect("address");
    let client = Links::start_on_runtime(settings(LinkRole::Entry), drop).expect("client");
    let open = async || {
        let stream = client.open_async(addr, LinkRole::Ledger, &1_u32).await;
        let mut stream = stream.expect("stream");
        assert_eq!(stream.recv_async::<u32>().await.expect("reply"), 1);
        stream
    };
    // The first connection also allocates what all of them share.
    let mut streams = vec![open().await];
    let before = resident_bytes();
    for _ in 0..STREAMS {
        streams.push(open().await);
    }
    let with_streams = resident_bytes();
    for _ in 0..CONNECTIONS {
        // The next stream needs a connection of its own.
        let identity = keys.identity(LinkRole::Entry).expect("identity");
        let client = client.clone();
        let reloaded = tokio::task::spawn_blocking(move || client.reload(identity));
        reloaded.await.expect("task").expect("reload");
        streams.push(open().await);
    }
    let grown = resident_bytes().saturating_sub(with_streams) / CONNECTIONS;
    let stream = with_streams.saturating_sub(before) / STREAMS;
    let each = grown.saturating_sub(stream) / 2;
    println!(
        "{each} bytes a connection and {} a stream at each end",
        stream / 2
    );
    assert!(each <= MAX_IDLE_BYTES, "{each} bytes at each end");
}
