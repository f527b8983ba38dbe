//! Client of the control group: finds its leader and sends requests to it.

use {
    crate::{
        process::{ControlReply, ControlRequest},
        wire::LinkRequest,
    },
    quay_link::{LinkError, LinkRole, Links},
    std::{fmt, net::SocketAddr},
};

/// Reasons why a request to the control group got no reply.
#[derive(Debug)]
pub enum ControlError {
    /// Neither the settings nor the arguments name a ledger host.
    NoHost,
    /// The leader was not reached; holds the failure of the host tried last.
    NotReached(Box<str>),
    /// The group has no quorum; the request was not executed.
    NoQuorum(SocketAddr),
    /// The request was sent but its reply was lost: it may have been executed.
    Unknown(Box<str>),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoHost => f.write_str("no ledger host is given in the settings or arguments"),
            Self::NotReached(why) => write!(f, "no host of the control group answers: {why}"),
            Self::NoQuorum(host) => write!(f, "ledger host {host} has no quorum"),
            Self::Unknown(why) => write!(
                f,
                "the reply was lost ({why}); resend the request with the same id"
            ),
        }
    }
}

impl std::error::Error for ControlError {}

/// Sends requests to the control group.
#[derive(Debug, Clone)]
pub struct ControlClient {
    links: Links,
    hosts: Vec<SocketAddr>,
    /// Host that replied to the last request.
    leader: Option<SocketAddr>,
}

impl ControlClient {
    /// Creates a client of the control group on the ledger hosts `hosts`.
    #[must_use]
    pub fn new(links: Links, hosts: impl Into<Vec<SocketAddr>>) -> Self {
        Self {
            links,
            hosts: hosts.into(),
            leader: None,
        }
    }

    /// Sends a request to each host in turn, the last known leader first, until
    /// one replies. Follows one redirect.
    ///
    /// # Errors
    ///
    /// [`ControlError::Unknown`] if the request may have been executed; the other
    /// errors mean that it was not.
    pub fn request(&mut self, req: ControlRequest) -> Result<ControlReply, ControlError> {
        let req = LinkRequest::Control(req);
        let mut untried = self.hosts.clone();
        let mut next = self.leader.take();
        let mut error = ControlError::NoHost;
        let mut redirected = false;
        while let Some(host) = next.or_else(|| untried.first().copied()) {
            untried.retain(|other| *other != host);
            next = None;
            match self.request_from_host(host, &req) {
                Ok(ControlReply::Redirect(leader)) => {
                    error = ControlError::NotReached(format!("{host} is not the leader").into());
                    if !redirected {
                        redirected = true;
                        next = leader.filter(|leader| *leader != host);
                    }
                }
                Ok(ControlReply::NoQuorum) => error = ControlError::NoQuorum(host),
                Ok(ControlReply::Unknown) => {
                    return Err(ControlError::Unknown(format!("{host}").into()));
                }
                Ok(reply) => {
                    self.leader = Some(host);
                    return Ok(reply);
                }
                Err(unknown @ ControlError::Unknown(_)) => return Err(unknown),
                Err(err) => error = err,
            }
        }
        Err(error)
    }

    /// Sends the request to one host.
    fn request_from_host(
        &self,
        host: SocketAddr,
        req: &LinkRequest,
    ) -> Result<ControlReply, ControlError> {
        let opened = self.links.open(host, LinkRole::Ledger, req);
        let mut stream = opened.map_err(|err| match err {
            LinkError::Connect(why) => ControlError::NotReached(why),
            err => ControlError::Unknown(err.to_string().into()),
        })?;
        stream
            .recv()
            .map_err(|err| ControlError::Unknown(format!("{host}: {err}").into()))
    }
}
