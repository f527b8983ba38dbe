//! The seam behind which a platform's own names stay.

use {
    crate::{
        CallHead, HeadError, OperatorCall, OperatorError, OperatorResponse, RoutingTable,
        TableError, UpstreamHead,
    },
    http::{HeaderMap, Method, Request, Response, request, response},
    std::time::Duration,
};

/// What a request carries on its way to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forwarding<'a> {
    /// The upstream that the request is meant for.
    pub upstream: &'a str,
    /// Time that the upstream has.
    pub time_left: Duration,
}

/// Translates between a platform's messages and the product's types.
///
/// An implementation decides nothing: it only reads and writes names.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads a routing table and checks its form; [`RoutingTable::check`] is
    /// the caller's.
    ///
    /// # Errors
    ///
    /// [`TableError::Unreadable`] says what is wrong.
    fn table(&self, document: &[u8]) -> Result<RoutingTable, TableError>;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Names what is missing or can't be read.
    fn call(&self, head: &request::Parts) -> Result<CallHead, HeadError>;

    /// The headers with which a request goes to an upstream.
    fn forward(&self, headers: &HeaderMap, with: &Forwarding<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn answer(&self, head: &response::Parts) -> UpstreamHead;

    /// The headers with which an upstream's answer goes to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds what an own answer to a caller's request carries.
    fn gateway_response_headers(&self, head: &CallHead, headers: &mut HeaderMap);

    /// Whether a request asks if this host takes callers.
    fn is_readiness_probe(&self, method: &Method, path: &str) -> bool;

    /// Reads a call of an operator or an upstream.
    ///
    /// # Errors
    ///
    /// Says why it can't be taken.
    fn operator_call(&self, req: &Request<&[u8]>) -> Result<OperatorCall, OperatorError>;

    /// Writes the answer to such a call.
    fn operator_response(&self, answer: &OperatorResponse) -> Response<Box<[u8]>>;
}
