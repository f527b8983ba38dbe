//! Accepts HTTP connections and answers what comes over them.

use {
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{cell::Cell, convert::Infallible, fmt, future::Future, rc::Rc, time::Duration},
    tokio::{net::TcpListener, sync::Notify, task::spawn_local},
};

/// Why the body of an answer ends before it is whole.
#[derive(Debug)]
pub struct BrokenOff(pub &'static str);

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer broke off: {}", self.0)
    }
}

impl std::error::Error for BrokenOff {}

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, BrokenOff>;

/// A body that is known in full.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Bounds on what callers may send; they may change while the server runs.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Bytes of a request's head.
    pub head_bytes: Rc<Cell<usize>>,
    /// Time that a connection may be idle, and a head may take.
    pub idle: Rc<Cell<Duration>>,
    /// Ends connections between two answers.
    pub closing: Rc<Closing>,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: Rc::new(Cell::new(32 << 10)),
            idle: Rc::new(Cell::new(Duration::from_secs(30))),
            closing: Rc::default(),
        }
    }
}

/// Ends connections between two answers.
#[derive(Debug, Default)]
pub struct Closing {
    begun: Cell<bool>,
    rung: Notify,
    /// Connections that are open.
    open: Cell<usize>,
    idle: Notify,
}

impl Closing {
    /// Every connection ends after the answer that it waits for.
    pub fn begin(&self) {
        self.begun.set(true);
        self.rung.notify_waiters();
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        while self.open() > 0 {
            let rung = self.idle.notified();
            tokio::pin!(rung);
            rung.as_mut().enable();
            if self.open() > 0 {
                rung.await;
            }
        }
    }

    /// Connections that are open.
    pub const fn open(&self) -> usize {
        self.open.get()
    }
}

/// Smallest buffer that `hyper` takes for heads.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers callers until the task is dropped.
pub async fn serve<F, R>(listener: TcpListener, answer: F, limits: &ServerLimits)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("event=accept_failed cause={err:?}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle.get())
            .max_buf_size(limits.head_bytes.get().max(MIN_HEAD_BYTES));
        let answer = answer.clone();
        // Boxed, so that a connection without a request holds no room for one.
        let service = service_fn(move |req| Box::pin(answer(req)));
        let conn = builder.serve_connection(TokioIo::new(stream), service);
        spawn_local(drive(conn, Rc::clone(&limits.closing)));
    }
}

/// Drives one connection to its end.
async fn drive<S>(conn: http1::Connection<TokioIo<tokio::net::TcpStream>, S>, closing: Rc<Closing>)
where
    S: hyper::service::HttpService<Incoming, ResBody = Body>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    closing.open.set(closing.open.get() + 1);
    tokio::pin!(conn);
    let mut asked = closing.begun.get();
    if asked {
        conn.as_mut().graceful_shutdown();
    }
    loop {
        let rung = closing.rung.notified();
        tokio::select! {
            ended = conn.as_mut() => {
                if let Err(err) = ended {
                    log::debug!("event=caller_connection_ended cause={err}");
                }
                break;
            }
            () = rung, if !asked => {
                asked = true;
                conn.as_mut().graceful_shutdown();
            }
        }
    }
    closing.open.set(closing.open.get() - 1);
    closing.idle.notify_waiters();
}
