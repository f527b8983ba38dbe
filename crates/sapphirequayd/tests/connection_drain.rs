//! Graceful shutdown of the connections of an HTTP server.

use {
    bytes::Bytes,
    http::Response,
    sapphirequayd::{ServerLimits, full, serve_http},
    std::{
        convert::Infallible,
        future::poll_fn,
        io::{Read as _, Write as _},
        net::{Ipv4Addr, TcpStream},
        rc::Rc,
        task::Poll,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        runtime,
        task::{LocalSet, spawn_blocking, spawn_local, yield_now},
    },
};

/// Number of steps of the server among which its shutdown begins: more than it takes to
/// accept a connection and to wait for its first request.
const STEPS: usize = 400;

/// Time after which a connection counts as one that isn't closed.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

async fn serve(listener: TcpListener, limits: &ServerLimits) {
    let answer = |_| async { Ok::<_, Infallible>(Response::new(full(Bytes::new()))) };
    serve_http(listener, answer, limits).await;
}

/// Sends one request to a server whose shutdown begins after `steps` steps, and reads
/// until the connection is closed.
async fn request_beside_shutdown(steps: usize) -> std::io::Result<Vec<u8>> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let mut caller = TcpStream::connect(listener.local_addr()?)?;
    caller.set_read_timeout(Some(READ_TIMEOUT))?;
    let limits = ServerLimits::default();
    let closing = Rc::clone(&limits.closing);
    spawn_local(async move { serve(listener, &limits).await });
    let mut left = steps;
    let mut sender = caller.try_clone()?;
    let began = spawn_local(poll_fn(move |cx| {
        if left == 0 {
            closing.begin();
            return Poll::Ready(sender.write_all(REQUEST));
        }
        left -= 1;
        cx.waker().wake_by_ref();
        Poll::Pending
    }));
    began.await.expect("shutdown")?;
    let read = spawn_blocking(move || {
        let mut got = Vec::new();
        caller.read_to_end(&mut got).map(|_| got)
    });
    read.await.expect("caller")
}

/// Guards against connections that are reset as the process ends, since it had not accepted
/// them yet.
#[test]
fn connections_made_before_the_listener_is_closed_get_an_answer() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let finished = async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let limits = ServerLimits::default();
        let closing = Rc::clone(&limits.closing);
        let server = spawn_local(async move { serve(listener, &limits).await });
        yield_now().await;
        let mut callers = Vec::new();
        for _ in 0..20 {
            let mut caller = TcpStream::connect(addr)?;
            caller.set_read_timeout(Some(READ_TIMEOUT))?;
            caller.write_all(REQUEST)?;
            callers.push(caller);
        }
        closing.begin();
        closing.finish().await;
        assert!(server.is_finished());
        assert!(TcpStream::connect(addr).is_err());
        for mut caller in callers {
            let mut got = Vec::new();
            caller.read_to_end(&mut got)?;
            assert!(got.starts_with(b"HTTP/1.1 200"), "{got:?}");
        }
        Ok::<_, std::io::Error>(())
    };
    let finished = LocalSet::new().block_on(&runtime.expect("runtime"), finished);
    finished.expect("answers");
}

/// Guards against a connection that is accepted as the shutdown begins and stays open, or
/// is closed before its first request.
#[test]
fn a_connection_accepted_as_the_shutdown_begins_gets_one_answer() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime");
    for steps in 0..STEPS {
        let got = LocalSet::new().block_on(&runtime, request_beside_shutdown(steps));
        let got = got.unwrap_or_else(|err| panic!("{steps} steps: {err}"));
        assert!(got.starts_with(b"HTTP/1.1 200"), "{steps} steps: {got:?}");
    }
}
