//! Tests of calls, which share a stream between two hosts.

use {
    bytes::Bytes,
    quay_link::{
        DevelopmentKeys, Encoded, FrameMemory, Incoming, IncomingCall, LinkError, LinkRole,
        LinkSettings, Links,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::mpsc as std_mpsc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::JoinSet,
        time::timeout,
    },
};

/// Time-out that ends no test before the failure it guards against is seen.
const NEVER: Duration = Duration::from_hours(1);

struct Pair {
    keys: DevelopmentKeys,
    client: Links,
    server: Links,
    addr: SocketAddr,
    calls: mpsc::Receiver<IncomingCall>,
    streams: mpsc::UnboundedReceiver<Incoming>,
}

impl Pair {
    /// Starts two hosts. Without `takes_calls` the server is of the previous version.
    fn start(takes_calls: bool) -> Self {
        Self::start_with(takes_calls, None)
    }

    /// The same with a bound of the memory for long requests.
    fn start_with(takes_calls: bool, frame_memory: Option<FrameMemory>) -> Self {
        let keys = DevelopmentKeys::generate().expect("keys");
        let settings = |role| LinkSettings {
            idle_timeout: NEVER,
            receive_timeout: NEVER,
            ..LinkSettings::new(keys.identity(role).expect("identity"))
        };
        let (calls_tx, calls) = mpsc::channel(1_000);
        let (streams_tx, streams) = mpsc::unbounded_channel();
        let server = LinkSettings {
            listen: Some((Ipv4Addr::LOCALHOST, 0).into()),
            calls: takes_calls.then_some(calls_tx),
            frame_memory,
            ..settings(LinkRole::Ledger)
        };
        let server = Links::start_on_runtime(server, move |incoming| {
            let _ = streams_tx.send(incoming);
        });
        let server = server.expect("server");
        let client = Links::start_on_runtime(settings(LinkRole::Entry), drop).expect("client");
        Self {
            addr: server.local_addr().expect("address"),
            keys,
            client,
            server,
            calls,
            streams,
        }
    }

    /// Starts a call whose request is `bytes` times its number.
    fn call(
        &self,
        number: u32,
        bytes: usize,
    ) -> impl Future<Output = Result<Vec<u32>, LinkError>> + use<> {
        let (client, addr) = (self.client.clone(), self.addr);
        async move {
            let req = vec![number; bytes];
            client.call(addr, LinkRole::Ledger, &req).await
        }
    }
}

fn echo(call: IncomingCall) {
    let req: Vec<u32> = call.request.decode().expect("request");
    call.reply(&req).expect("reply");
}

/// Sends `count` calls at once, with bodies of `sizes` bytes in turn, and checks that each
/// gets its own reply.
async fn exchange_at_once(count: u32, sizes: &[usize]) {
    let mut pair = Pair::start(true);
    let mut sent = JoinSet::new();
    for (number, bytes) in (0..count).zip(sizes.iter().cycle().copied()) {
        let call = pair.call(number % 100, bytes);
        sent.spawn(async move { (number % 100, bytes, call.await) });
    }
    let mut done = 0;
    while done < count {
        tokio::select! {
            Some(call) = pair.calls.recv() => echo(call),
            Some(mut incoming) = pair.streams.recv() => {
                tokio::spawn(async move {
                    let req: Vec<u32> = incoming.first.decode().expect("request");
                    incoming.stream.send_async(&req).await.expect("reply");
                    let _ = incoming.stream.recv_async::<u32>().await;
                });
            }
            Some(call) = sent.join_next() => {
                let (number, bytes, reply) = call.expect("task");
                assert_eq!(reply.expect("reply"), vec![number; bytes]);
                done += 1;
            }
        }
    }
}

/// Frames that end anywhere in a packet, and replies beside the stream, must reach
/// the caller of their request whole.
#[tokio::test]
async fn concurrent_calls_of_all_sizes_get_their_own_replies() {
    let sizes = [0, 1, 300, 4_000, 9_000, 16_381, 16_382, 16_383, 20_000];
    exchange_at_once(36, &sizes).await;
}

/// Guards against a pair of hosts that stalls while hundreds of large requests are sent.
#[tokio::test]
async fn hundreds_of_large_calls_at_once_are_answered() {
    let sizes = [0, 1, 300, 4_000, 9_000, 16_381, 16_383, 30_000, 60_000];
    let exchanged = timeout(Duration::from_mins(1), exchange_at_once(270, &sizes));
    exchanged.await.expect("all calls are answered");
}

/// Guards against a host that reads all the long requests that its peers send at once, whatever
/// its memory (review, case 14).
#[tokio::test]
async fn long_requests_wait_until_there_is_memory_for_them() {
    const BYTES: usize = 100_000;
    let memory = FrameMemory::new(3 * BYTES as u64 / 2);
    let mut pair = Pair::start_with(true, Some(memory));
    let mut sent = JoinSet::new();
    for number in 0..4 {
        sent.spawn(pair.call(number, BYTES));
    }
    for left in (0..4).rev() {
        let incoming = pair.streams.recv().await.expect("a request");
        let next = timeout(Duration::from_millis(300), pair.streams.recv()).await;
        assert!(next.is_err(), "one is served, {left} wait");
        // What is short passes by.
        let short = tokio::spawn(pair.call(9, 1));
        echo(pair.calls.recv().await.expect("call"));
        assert_eq!(short.await.expect("task").expect("reply"), [9]);
        let req: Vec<u32> = incoming.first.decode().expect("request");
        incoming.stream.send_async(&req).await.expect("reply");
        drop(incoming);
        let reply = sent.join_next().await.expect("a call").expect("task");
        assert_eq!(reply.expect("reply").len(), BYTES);
    }
}

/// One slow request must not hold up those that follow it.
#[tokio::test]
async fn a_slow_reply_does_not_delay_quick_ones() {
    let mut pair = Pair::start(true);
    let slow = tokio::spawn(pair.call(7, 1));
    let slow_call = pair.calls.recv().await.expect("call");
    for number in 0..20 {
        let quick = tokio::spawn(pair.call(number, 2));
        echo(pair.calls.recv().await.expect("call"));
        let reply = quick.await.expect("task").expect("reply");
        assert_eq!(reply, vec![number; 2]);
    }
    // A large reply leaves the stream free, too.
    slow_call.reply(&vec![7_u32; 1 << 20]).expect("reply");
    let reply = slow.await.expect("task").expect("reply");
    assert_eq!(reply, vec![7; 1 << 20]);
}

/// Pending calls must not wait for their time-outs once the link is broken.
#[tokio::test]
async fn pending_calls_fail_when_the_link_breaks() {
    let mut pair = Pair::start(true);
    let mut pending = JoinSet::new();
    let mut unanswered = Vec::new();
    for number in 0..20 {
        pending.spawn(pair.call(number, 1));
        unanswered.push(pair.calls.recv().await.expect("call"));
    }
    drop(pair.server);
    while let Some(call) = pending.join_next().await {
        let reply = call.expect("task");
        assert!(matches!(reply, Err(LinkError::Broken(_))), "{reply:?}");
    }
}

/// A request that the role does not serve must fail at once.
#[tokio::test]
async fn a_call_that_is_dropped_fails() {
    let mut pair = Pair::start(true);
    let call = tokio::spawn(pair.call(1, 1));
    drop(pair.calls.recv().await);
    let reply = call.await.expect("task");
    assert!(matches!(reply, Err(LinkError::Finished)), "{reply:?}");
}

/// New keys must not cut off calls that were begun with the old ones.
#[tokio::test]
async fn calls_are_answered_after_the_keys_have_changed() {
    let mut pair = Pair::start(true);
    let before = tokio::spawn(pair.call(1, 1));
    let call = pair.calls.recv().await.expect("call");
    let identity = pair.keys.identity(LinkRole::Entry).expect("identity");
    let client = pair.client.clone();
    let reloaded = tokio::task::spawn_blocking(move || client.reload(identity));
    reloaded.await.expect("task").expect("reload");
    let after = tokio::spawn(pair.call(2, 1));
    echo(pair.calls.recv().await.expect("call"));
    echo(call);
    assert_eq!(before.await.expect("task").expect("reply"), [1]);
    assert_eq!(after.await.expect("task").expect("reply"), [2]);
}

/// During a restart of all hosts one after another, a host must be able to ask one
/// of the previous version.
#[tokio::test]
async fn a_peer_that_takes_no_calls_is_asked_on_a_stream_for_each_request() {
    let mut pair = Pair::start(false);
    for number in 0..3 {
        let call = tokio::spawn(pair.call(number, 1));
        let incoming = pair.streams.recv().await.expect("stream");
        let req: Vec<u32> = incoming.first.decode().expect("request");
        incoming.stream.send_async(&req).await.expect("reply");
        assert_eq!(call.await.expect("task").expect("reply"), [number]);
    }
    assert!(pair.calls.try_recv().is_err());
}

/// A host of the previous version must be able to ask one of this version.
#[tokio::test]
async fn a_host_that_takes_calls_is_also_asked_on_streams() {
    let mut pair = Pair::start(true);
    let opened = pair.client.open_async(pair.addr, LinkRole::Ledger, &5_u32);
    let mut stream = opened.await.expect("stream");
    let incoming = pair.streams.recv().await.expect("stream");
    incoming.stream.send_async(&6_u32).await.expect("reply");
    assert_eq!(stream.recv_async::<u32>().await.expect("reply"), 6);
}

/// Guards against requests that are cut, or wait for a time-out, when a host stops.
#[tokio::test]
async fn a_host_that_stops_answers_what_it_has_read_and_closes_its_links() {
    let mut pair = Pair::start(true);
    let sizes = [1, 1 << 18, 20_000];
    let calls = sizes.map(|size| tokio::spawn(pair.call(7, size.min(20_000))));
    let (one, other) = (pair.calls.recv().await, pair.streams.recv().await);
    let (one, stream) = (one.expect("call"), other.expect("stream"));
    let second = pair.streams.recv().await.expect("stream");
    let server = pair.server.clone();
    let stopped = tokio::spawn(async move { server.stop(NEVER).await });
    // The stop has begun when the host reads no further request.
    while timeout(Duration::from_millis(50), pair.call(1, 1))
        .await
        .is_ok()
    {}
    one.reply(&vec![7_u32; 1 << 18]).expect("reply");
    for answered in [stream, second] {
        let req: Vec<u32> = answered.first.decode().expect("request");
        answered.stream.send_async(&req).await.expect("reply");
    }
    for call in calls {
        call.await.expect("task").expect("reply");
    }
    assert!(stopped.await.expect("task"));
    let late = timeout(Duration::from_mins(1), pair.call(1, 1)).await;
    late.expect("no wait for a time-out").expect_err("stopped");
}

/// Bytes whose owner learns when the last clone is dropped.
struct Watched(Vec<u8>, Option<oneshot::Sender<()>>);

impl AsRef<[u8]> for Watched {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        let _ = self.1.take().map(|dropped| dropped.send(()));
    }
}

/// Guards against a link to a silent peer that holds requests which nobody waits for.
#[tokio::test]
async fn a_large_request_that_is_given_up_is_not_held() {
    let keys = DevelopmentKeys::generate().expect("keys");
    let settings = |role| LinkSettings {
        idle_timeout: NEVER,
        receive_timeout: NEVER,
        ..LinkSettings::new(keys.identity(role).expect("identity"))
    };
    let server = LinkSettings {
        listen: Some((Ipv4Addr::LOCALHOST, 0).into()),
        ..settings(LinkRole::Ledger)
    };
    // The first stream blocks the server's thread, as a stopped process does.
    let (end, ended) = std_mpsc::sync_channel::<()>(0);
    let (blocked_tx, mut blocked) = mpsc::unbounded_channel();
    let ended = std::sync::Mutex::new(ended);
    let server = Links::start(server, move |_| {
        let _ = blocked_tx.send(());
        let _ = ended.lock().expect("lock").recv();
    });
    let server = server.expect("server");
    let addr = server.local_addr().expect("address");
    let client = Links::start_on_runtime(settings(LinkRole::Entry), drop).expect("client");
    let first = client.open_async(addr, LinkRole::Ledger, &1_u32).await;
    let _first = first.expect("stream");
    blocked.recv().await.expect("the server is blocked");

    let (dropped_tx, dropped) = oneshot::channel();
    let chunk = Bytes::from_owner(Watched(vec![1; 8 << 20], Some(dropped_tx)));
    let call = client.call_encoded::<u32>(addr, LinkRole::Ledger, Encoded::from(chunk));
    let given_up = timeout(Duration::from_millis(300), call).await;
    assert!(given_up.is_err(), "{given_up:?}");
    let dropped = timeout(Duration::from_secs(20), dropped).await;
    drop(end);
    dropped.expect("the request is released").expect("dropped");
}
