//! Tests a process that is killed and started again at its address.

use {
    quay_link::{DevelopmentKeys, KeyFiles, LinkError, LinkRole, LinkSettings, Links},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::mpsc as std_mpsc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tempfile::TempDir,
    tokio::{
        runtime::Runtime,
        sync::{mpsc, oneshot},
        time::timeout,
    },
};

/// Time-out of connections that ends none before the test does.
const NEVER: Duration = Duration::from_hours(1);

/// Time after which a stream counts as silent.
const SILENT_AFTER: Duration = Duration::from_secs(30);

/// A process on a thread of its own, which answers the first value of each stream.
struct Server {
    addr: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl Server {
    fn start(keys: &KeyFiles, listen: SocketAddr) -> Self {
        let settings = LinkSettings {
            listen: Some(listen),
            idle_timeout: NEVER,
            ..LinkSettings::new(keys.load().expect("identity"))
        };
        let (stop, stopped) = oneshot::channel();
        let (ready, addr) = std_mpsc::channel();
        let run = async move {
            let (kept, mut streams) = mpsc::unbounded_channel();
            let links = Links::start_on_runtime(settings, move |incoming| {
                let kept = kept.clone();
                tokio::spawn(async move {
                    let _ = incoming.stream.send_async(&1_u32).await;
                    let _ = kept.send(incoming.stream);
                });
            });
            let links = links.expect("server");
            let _ = ready.send(links.local_addr().expect("address"));
            let keep_open = async {
                let mut open = Vec::new();
                while let Some(stream) = streams.recv().await {
                    open.push(stream);
                }
            };
            tokio::select! {
                () = keep_open => {}
                _ = stopped => {}
            }
            // Nothing runs after this, so that no connection is closed.
            std::mem::forget(links);
        };
        let thread = thread::spawn(move || runtime().block_on(run));
        Self {
            addr: addr.recv().expect("address"),
            stop,
            thread,
        }
    }

    /// Ends the process without closing its connections.
    fn kill(self) {
        let _ = self.stop.send(());
        self.thread.join().expect("server");
    }
}

fn runtime() -> Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().expect("runtime")
}

/// Guards against messages that are sent to a killed process until the idle time-out, and
/// lost, although its successor listens at the same address (review, case 1).
#[test]
fn a_restarted_process_resets_the_connections_of_its_predecessor() {
    let keys = DevelopmentKeys::generate().expect("keys");
    let folder = TempDir::new().expect("folder");
    let nobody: [&str; 0] = [];
    keys.write(folder.path(), &nobody).expect("keys");
    let files = KeyFiles::for_role(folder.path(), LinkRole::Ledger);
    let first = Server::start(&files, (Ipv4Addr::LOCALHOST, 0).into());
    let addr = first.addr;
    let client = runtime();
    let (mut stream, _links) = client.block_on(async {
        let settings = LinkSettings {
            idle_timeout: NEVER,
            receive_timeout: NEVER,
            keep_alive: Duration::from_millis(100),
            ..LinkSettings::new(keys.identity(LinkRole::Entry).expect("identity"))
        };
        let links = Links::start_on_runtime(settings, drop).expect("client");
        let opened = links.open_async(addr, LinkRole::Ledger, &0_u32).await;
        let mut stream = opened.expect("stream");
        assert_eq!(stream.recv_async::<u32>().await.expect("reply"), 1);
        (stream, links)
    });
    first.kill();
    let second = Server::start(&files, addr);
    let end = client.block_on(async {
        let received = timeout(SILENT_AFTER, stream.recv_async::<u32>());
        received.await.unwrap_or(Err(LinkError::Silent))
    });
    assert!(
        matches!(end, Err(LinkError::Broken(_))),
        "the stream to the killed process ended with {end:?}"
    );
    second.kill();
}
