//! HTTP API of a control host, for operators and upstreams.

use {
    super::ControlHost,
    crate::{
        gateway::{
            host_memory::HostMemory,
            http_server::{Body, ServerLimits, full},
            messages::{ControlReply, ControlRequest, TableDocument},
            request_body::{BodyCaller, BodyError, DiscardLimits, discard, read_request_body},
            server_stop::{ServerStop, StopPhase, serve_until_stopped},
        },
        process::Clock,
    },
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    quay_members::{AnnouncementFault, AnnouncementLimits},
    quay_routes::{Dialect, OperatorCall, OperatorError, OperatorResponse},
    quay_types::Time,
    std::{convert::Infallible, time::Duration},
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Time within which the body of a request must arrive. The largest one takes 6 s over
/// the slowest link of the reference deployments.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// How much of a refused body is read and dropped.
const DISCARD_LIMITS: DiscardLimits = DiscardLimits {
    bytes: 2 * MAX_BODY_BYTES as u64,
    time: BODY_TIMEOUT,
};

/// Interval at which callers are disconnected if memory is short.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(300);

/// Time-out of a request to the leader. Callers fail over to another host after
/// one second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(850);

/// Path of the accounts' limits and their use, which `sapphirequay quotas` reads.
const QUOTAS_PATH: &str = "/quotas";

/// Serves HTTP requests within `memory` until the server is stopped.
pub async fn serve<D: Dialect>(
    host: ControlHost<D>,
    listener: tokio::net::TcpListener,
    memory: HostMemory,
    stop: ServerStop,
) {
    let limits = ServerLimits {
        memory: memory.clone(),
        ..ServerLimits::default()
    };
    let maintained = memory.clone();
    spawn_local(async move {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            maintained.tick(false);
        }
    });
    let stopped = stop.clone();
    let handler = move |req| {
        let (host, memory, stop) = (host.clone(), memory.clone(), stopped.clone());
        async move {
            let response = tokio::select! {
                biased;
                response = handle(&host, &memory, req) => response,
                () = stop.reached(StopPhase::Ending) => {
                    log::warn!("event=operator_call_unfinished");
                    empty_response(StatusCode::SERVICE_UNAVAILABLE)
                }
            };
            Ok::<_, Infallible>(response)
        }
    };
    serve_until_stopped(listener, handler, &limits, &stop).await;
}

/// Handles one HTTP request.
async fn handle<D: Dialect>(
    host: &ControlHost<D>,
    memory: &HostMemory,
    req: Request<Incoming>,
) -> Response<Body> {
    if req.method() == Method::GET && req.uri().path() == QUOTAS_PATH {
        return show_quotas(host).await;
    }
    let (head, mut unread) = req.into_parts();
    let caller = BodyCaller::of(&head, None);
    let body = match read_body(memory, &mut unread, &caller).await {
        Ok(body) => body,
        Err(err) => {
            let status = body_error_status(err);
            log::info!(
                "event=operator_body_unread path={} status={status}",
                head.uri
            );
            if matches!(err, BodyError::TooLarge | BodyError::NoMemory) {
                discard(unread, &caller, DISCARD_LIMITS);
            }
            return empty_response(status);
        }
    };
    let path: Box<str> = head.uri.path().into();
    let req = Request::from_parts(head, &body[..]);
    let response = match host.dialect.parse_operator_call(&req) {
        Ok(call) => execute(host, call, &body).await,
        Err(OperatorError::NoSuchCall) => return empty_response(StatusCode::NOT_FOUND),
        Err(fault) => {
            log::info!("event=operator_call_refused path={path} cause=\"{fault}\"");
            OperatorResponse::Invalid(fault.to_string().into())
        }
    };
    if response == OperatorResponse::Unavailable {
        log::warn!("event=operator_call_unsure path={path}");
    }
    host.dialect
        .operator_response(&response)
        .map(|body| full(Bytes::from(body.into_vec())))
}

/// Reads the body of a request.
async fn read_body(
    memory: &HostMemory,
    body: &mut Incoming,
    caller: &BodyCaller<'_>,
) -> Result<Bytes, BodyError> {
    let read = read_request_body(memory, body, MAX_BODY_BYTES, caller);
    let read = timeout(BODY_TIMEOUT, read).await;
    read.unwrap_or(Err(BodyError::TooSlow))
        .and_then(|body| body.into_bytes(memory))
}

const fn body_error_status(err: BodyError) -> StatusCode {
    match err {
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        BodyError::Incomplete => StatusCode::BAD_REQUEST,
        BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Lists the limits of accounts and their use, one line each.
async fn show_quotas<D: Dialect>(host: &ControlHost<D>) -> Response<Body> {
    let Some(ControlReply::Quotas(rows)) = ask_leader(host, ControlRequest::ShowQuotas).await
    else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let lines = rows.iter().map(|row| {
        format!(
            "account={:?} rate={} burst={} free={} held={} used={} program_length={}\n",
            row.account, row.rate, row.burst, row.free, row.held, row.used, row.program_length
        )
    });
    Response::new(full(Bytes::from(lines.collect::<String>())))
}

/// Executes a request on this host if it leads, or on the leader otherwise.
async fn ask_leader<D: Dialect>(
    host: &ControlHost<D>,
    req: ControlRequest,
) -> Option<ControlReply> {
    match host.serve(req.clone()).await {
        ControlReply::NotLeader(_) | ControlReply::Unavailable => {
            host.client.request(req, LEADER_TIMEOUT).await
        }
        reply => Some(reply),
    }
}

/// Executes a call on this host if it leads, or on the leader otherwise.
async fn execute<D: Dialect>(
    host: &ControlHost<D>,
    call: OperatorCall,
    body: &Bytes,
) -> OperatorResponse {
    if let Err(fault) = check_bounds(&call) {
        log::info!("event=operator_call_refused cause=\"{fault}\"");
        return OperatorResponse::Invalid(fault.to_string().into());
    }
    let (req, what) = match call {
        OperatorCall::PutTable => match parse_table_text(&host.dialect, body) {
            Ok(table) => (ControlRequest::PutTable(table), "table".into()),
            Err(reason) => {
                log::info!("event=table_refused cause=\"{reason}\"");
                return OperatorResponse::Invalid(reason);
            }
        },
        OperatorCall::GetTable => (ControlRequest::GetTable, "table".into()),
        OperatorCall::Announce(announcement) => {
            let name = announcement.name.clone();
            (ControlRequest::Announce(announcement), name)
        }
        OperatorCall::Leave { name, incarnation } => {
            (ControlRequest::Leave(name.clone(), incarnation), name)
        }
        OperatorCall::RetireStore { host, .. } => (ControlRequest::Retire(host.clone()), host),
        OperatorCall::RetireProgress { host } => (ControlRequest::Retired(host.clone()), host),
    };
    let reply = ask_leader(host, req).await;
    operator_response_for(reply, what)
}

/// Checks what an upstream says of itself.
fn check_bounds(call: &OperatorCall) -> Result<(), AnnouncementFault> {
    let limits = AnnouncementLimits::default();
    let at = Time::from_millis(Clock::wall_ms());
    match call {
        OperatorCall::Announce(announcement) => limits.check(at, announcement),
        OperatorCall::Leave { name, incarnation } => limits.check_run(at, name, *incarnation),
        _ => Ok(()),
    }
}

/// Converts a reply of the leader to an operator response. `what` names the
/// object of the call.
fn operator_response_for(reply: Option<ControlReply>, what: Box<str>) -> OperatorResponse {
    match reply {
        Some(ControlReply::Done) => OperatorResponse::Done,
        Some(ControlReply::Table(Some(table))) => OperatorResponse::Table(table.document),
        Some(ControlReply::Retired(done)) => OperatorResponse::Retired(done),
        Some(ControlReply::Unknown) => OperatorResponse::Unknown(what),
        Some(ControlReply::TooFew) => OperatorResponse::TooFew,
        _ => OperatorResponse::Unavailable,
    }
}

/// Parses and validates a routing table.
fn parse_table_text(dialect: &impl Dialect, document: &Bytes) -> Result<TableDocument, Box<str>> {
    let table = dialect
        .parse_table(document)
        .map_err(|fault| fault.to_string())?;
    table.check().map_err(|fault| fault.to_string())?;
    Ok(TableDocument {
        revision: table.revision,
        document: document[..].into(),
    })
}
