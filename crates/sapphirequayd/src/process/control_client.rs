//! Finds the host that leads the control group and asks it.

use {
    crate::{
        process::{ControlReply, ControlRequest},
        wire::LinkRequest,
    },
    quay_link::{LinkError, LinkRole, Links},
    std::{fmt, net::SocketAddr},
};

/// Why the control group gave no answer.
#[derive(Debug)]
pub enum ControlError {
    /// No ledger host is named in the settings or arguments.
    NoHost,
    /// No host that leads was reached; says why of the last one.
    NotReached(Box<str>),
    /// A host leads no quorum; nothing happened.
    NoQuorum(SocketAddr),
    /// The request was sent and its answer lost: it may be carried out.
    Unknown(Box<str>),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoHost => f.write_str("no ledger host is named"),
            Self::NotReached(why) => write!(f, "no host of the control group answers: {why}"),
            Self::NoQuorum(host) => write!(f, "ledger host {host} has no quorum"),
            Self::Unknown(why) => write!(
                f,
                "the answer was lost ({why}); send the request again with the same id"
            ),
        }
    }
}

impl std::error::Error for ControlError {}

/// Asks the control group.
#[derive(Debug, Clone)]
pub struct ControlClient {
    links: Links,
    hosts: Vec<SocketAddr>,
    /// Host that answered last.
    leader: Option<SocketAddr>,
}

impl ControlClient {
    /// A client of the ledger on `hosts`.
    #[must_use]
    pub fn new(links: Links, hosts: impl Into<Vec<SocketAddr>>) -> Self {
        Self {
            links,
            hosts: hosts.into(),
            leader: None,
        }
    }

    /// Asks each host once, the last leader first, and follows one redirect.
    ///
    /// # Errors
    ///
    /// [`ControlError::Unknown`] if the request may have been carried out.
    pub fn request(&mut self, req: ControlRequest) -> Result<ControlReply, ControlError> {
        let req = LinkRequest::Control(req);
        let mut untried = self.hosts.clone();
        let mut next = self.leader.take();
        let mut fault = ControlError::NoHost;
        let mut redirected = false;
        while let Some(host) = next.or_else(|| untried.first().copied()) {
            untried.retain(|other| *other != host);
            next = None;
            match self.ask_host(host, &req) {
                Ok(ControlReply::Redirect(leader)) => {
                    fault = ControlError::NotReached(format!("{host} does not lead").into());
                    if !redirected {
                        redirected = true;
                        next = leader.filter(|leader| *leader != host);
                    }
                }
                Ok(ControlReply::NoQuorum) => fault = ControlError::NoQuorum(host),
                Ok(ControlReply::Unknown) => {
                    return Err(ControlError::Unknown(format!("{host}").into()));
                }
                Ok(reply) => {
                    self.leader = Some(host);
                    return Ok(reply);
                }
                Err(unknown @ ControlError::Unknown(_)) => return Err(unknown),
                Err(err) => fault = err,
            }
        }
        Err(fault)
    }

    /// Asks one host.
    fn ask_host(&self, host: SocketAddr, req: &LinkRequest) -> Result<ControlReply, ControlError> {
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
