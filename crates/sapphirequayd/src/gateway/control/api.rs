//! HTTP interface of a control host, for operators and upstreams.

use {
    super::ControlHost,
    crate::gateway::{
        http_server::{self, Body, full},
        messages::{ControlReply, ControlRequest, TableText},
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt as _, Limited},
    hyper::body::Incoming,
    quay_routes::{Dialect, OperatorCall, OperatorError, OperatorResponse},
    std::{convert::Infallible, time::Duration},
};

/// Largest body of an operator's call, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Time in which a call is answered; callers turn to another host after a second.
const ANSWER_WITHIN: Duration = Duration::from_millis(850);

/// Answers callers until the process ends.
pub async fn serve<D: Dialect>(host: ControlHost<D>, listener: tokio::net::TcpListener) {
    let answer = move |req| {
        let host = host.clone();
        async move { Ok::<_, Infallible>(answer(&host, req).await) }
    };
    http_server::serve(listener, answer, &http_server::ServerLimits::default()).await;
}

/// Answers one call.
async fn answer<D: Dialect>(host: &ControlHost<D>, req: Request<Incoming>) -> Response<Body> {
    let (head, body) = req.into_parts();
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => {
            log::info!("event=operator_body_unread path={} cause={err}", head.uri);
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let path: Box<str> = head.uri.path().into();
    let whole = Request::from_parts(head, &body[..]);
    let answer = match host.dialect.parse_operator_call(&whole) {
        Ok(call) => carry_out(host, call, &body).await,
        Err(OperatorError::NoSuchCall) => return status(StatusCode::NOT_FOUND),
        Err(fault) => {
            log::info!("event=operator_call_refused path={path} cause=\"{fault}\"");
            OperatorResponse::Invalid(fault.to_string().into())
        }
    };
    if answer == OperatorResponse::Unavailable {
        log::warn!("event=operator_call_unsure path={path}");
    }
    host.dialect
        .operator_response(&answer)
        .map(|body| full(Bytes::from(body.into_vec())))
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Carries out a call at the leader, wherever that is.
async fn carry_out<D: Dialect>(
    host: &ControlHost<D>,
    call: OperatorCall,
    body: &Bytes,
) -> OperatorResponse {
    let (req, what) = match call {
        OperatorCall::PutTable => match table_text(&host.dialect, body) {
            Ok(table) => (ControlRequest::PutTable(table), "table".into()),
            Err(why) => {
                log::info!("event=table_refused cause=\"{why}\"");
                return OperatorResponse::Invalid(why);
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
    let reply = match host.serve(req.clone()).await {
        ControlReply::NotLeader(_) | ControlReply::Unavailable => {
            host.client.ask(req, ANSWER_WITHIN).await
        }
        reply => Some(reply),
    };
    operator_answer(reply, what)
}

/// What a reply is to an operator.
fn operator_answer(reply: Option<ControlReply>, what: Box<str>) -> OperatorResponse {
    match reply {
        Some(ControlReply::Done) => OperatorResponse::Done,
        Some(ControlReply::Table(Some(table))) => OperatorResponse::Table(table.document),
        Some(ControlReply::Retired(done)) => OperatorResponse::Retired(done),
        Some(ControlReply::Unknown) => OperatorResponse::Unknown(what),
        Some(ControlReply::TooFew) => OperatorResponse::TooFew,
        _ => OperatorResponse::Unavailable,
    }
}

/// Reads and checks a table.
fn table_text(dialect: &impl Dialect, document: &Bytes) -> Result<TableText, Box<str>> {
    let table = dialect
        .parse_table(document)
        .map_err(|fault| fault.to_string())?;
    table.check().map_err(|fault| fault.to_string())?;
    Ok(TableText {
        revision: table.revision,
        document: document[..].into(),
    })
}
