//! `/metrics` and `/healthz` of a gateway's process.

use {
    super::http_server::{self, Body, ServerLimits, full},
    crate::process::telemetry,
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    std::{convert::Infallible, time::Duration},
    tokio::{net::TcpListener, time::sleep},
};

/// Interval at which recorded times are put into their buckets; until then each
/// takes eight bytes.
const UPKEEP_EVERY: Duration = Duration::from_secs(5);

/// Answers whoever watches the process, until the task is dropped.
pub async fn serve(listener: TcpListener) {
    let answer = |req: Request<Incoming>| {
        let response = answer(req.method(), req.uri().path());
        async move { Ok::<_, Infallible>(response) }
    };
    http_server::serve(listener, answer, &ServerLimits::default()).await;
}

/// Keeps what was recorded small, until the task is dropped.
pub async fn keep_up() {
    loop {
        sleep(UPKEEP_EVERY).await;
        telemetry::keep_up();
    }
}

fn answer(method: &Method, path: &str) -> Response<Body> {
    let (status, text) = match (method, path) {
        (&Method::GET, "/metrics") => (StatusCode::OK, telemetry::render()),
        (&Method::GET, "/healthz") => (StatusCode::OK, "ok\n".into()),
        _ => (
            StatusCode::NOT_FOUND,
            "only GET /metrics and /healthz are here\n".into(),
        ),
    };
    let mut response = Response::new(full(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
