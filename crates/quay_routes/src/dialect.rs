//! Translation between a platform's HTTP messages and this product's types.

use {
    crate::{
        CallHead, HeadError, OperatorCall, OperatorError, OperatorResponse, RoutingTable,
        TableError, UpstreamHead,
    },
    http::{HeaderMap, Method, Request, Response, request, response},
    quay_types::Incarnation,
    std::{net::SocketAddr, time::Duration},
};

/// Values that are added to a request when it is forwarded to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forwarding<'a> {
    /// Name of the upstream that should run the request.
    pub upstream: &'a str,
    /// Time remaining until the request's deadline.
    pub time_left: Duration,
    /// Account of the caller.
    pub account: ForwardedAccount<'a>,
}

/// What an upstream is told of the caller's account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ForwardedAccount<'a> {
    /// There are no accounts; what the caller sent is forwarded unchanged.
    #[default]
    Unchanged,
    /// The request has no account. Neither a key nor a name is forwarded.
    Anonymous,
    /// Name of the account, which replaces what the caller sent. No key is forwarded.
    Named(&'a str),
}

/// Translates between a platform's HTTP messages and this product's types.
///
/// An implementation only parses and formats messages; it makes no decisions
/// about them.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Parses a routing table. The caller must validate it with
    /// [`RoutingTable::check`].
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unreadable`] with the reason if the document can't
    /// be parsed.
    fn parse_table(&self, document: &[u8]) -> Result<RoutingTable, TableError>;

    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Names the part of the head that is missing or can't be parsed.
    fn parse_request(&self, head: &request::Parts) -> Result<CallHead, HeadError>;

    /// Headers of a request that is forwarded to an upstream.
    fn forwarded_headers(&self, headers: &HeaderMap, with: &Forwarding<'_>) -> HeaderMap;

    /// Parses the head of an upstream's response.
    fn parse_response(&self, head: &response::Parts) -> UpstreamHead;

    /// Request for the report of the upstream at `addr` on itself.
    fn report_request(&self, addr: SocketAddr) -> Request<()>;

    /// Incarnation that an upstream names in its report, if it does.
    fn parse_report(&self, body: &[u8]) -> Option<Incarnation>;

    /// Headers of an upstream's response that is passed on to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds headers to a response that the gateway itself generates.
    fn gateway_response_headers(&self, head: &CallHead, headers: &mut HeaderMap);

    /// Whether a request is a readiness probe of this host.
    fn is_readiness_probe(&self, method: &Method, path: &str) -> bool;

    /// Parses an administrative call of an operator or an upstream.
    ///
    /// # Errors
    ///
    /// Returns the reason if the call is unknown or its body is invalid.
    fn parse_operator_call(&self, req: &Request<&[u8]>) -> Result<OperatorCall, OperatorError>;

    /// Formats the response to an administrative call.
    fn operator_response(&self, answer: &OperatorResponse) -> Response<Box<[u8]>>;
}
