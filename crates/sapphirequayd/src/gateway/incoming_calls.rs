//! Serves the requests of other hosts, on streams of their own and as calls.

use {
    crate::wire::LinkRequest,
    futures_util::{StreamExt as _, stream::FuturesUnordered},
    quay_link::{FramePermit, Incoming, IncomingCall, LinkError},
    serde::Serialize,
    std::net::SocketAddr,
    tokio::{sync::mpsc, task::spawn_local},
};

/// Maximum number of calls served at the same time; further ones wait on their
/// links. More than the long polls of the largest deployment.
const MAX_CALLS: usize = 4_096;

/// Request of another host.
#[derive(Debug)]
pub enum Asked {
    /// On a stream of its own, as hosts of the previous version ask.
    Stream(Incoming),
    /// As a call.
    Call(IncomingCall),
}

impl Asked {
    /// Size of the encoded request.
    pub fn request_bytes(&self) -> usize {
        match self {
            Self::Stream(incoming) => incoming.first.len(),
            Self::Call(call) => call.request.len(),
        }
    }

    /// Decodes the request, whose encoded form is dropped.
    ///
    /// # Errors
    ///
    /// [`LinkError::Decode`] if it is invalid, or was taken before.
    pub fn take_request(&mut self) -> Result<LinkRequest, LinkError> {
        let frame = match self {
            Self::Stream(incoming) => &mut incoming.first,
            Self::Call(call) => &mut call.request,
        };
        std::mem::take(frame).decode()
    }

    /// Address of the host.
    pub const fn addr(&self) -> SocketAddr {
        match self {
            Self::Stream(incoming) => incoming.addr,
            Self::Call(call) => call.addr,
        }
    }

    /// Sends the reply; the host may have given up.
    pub async fn reply(self, reply: &impl Serialize) {
        self.reply_holding(reply, None).await;
    }

    /// Sends the reply as [`reply`](Self::reply) does. `memory` is held until it is sent.
    pub async fn reply_holding(self, reply: &impl Serialize, memory: Option<FramePermit>) {
        let sent = match self {
            Self::Stream(incoming) => incoming.stream.send_async(reply).await,
            Self::Call(call) => call.reply_holding(reply, memory),
        };
        match sent {
            Ok(()) => {}
            // The sender will get none, however often it asks.
            Err(err @ LinkError::TooLarge { .. }) => {
                log::error!("event=link_reply_too_large cause={err:?}");
            }
            Err(err) => log::debug!("event=link_reply_unsent cause={err:?}"),
        }
    }
}

/// Requests of other hosts.
#[derive(Debug)]
pub struct IncomingRequests {
    /// Requests on streams of their own.
    pub streams: mpsc::UnboundedReceiver<Incoming>,
    /// Calls.
    pub calls: mpsc::Receiver<IncomingCall>,
}

impl IncomingRequests {
    /// Serves requests until the links stop. Calls are served concurrently in this
    /// task.
    pub async fn serve<F: Future<Output = ()> + 'static>(mut self, serve: impl Fn(Asked) -> F) {
        let mut running = FuturesUnordered::new();
        loop {
            tokio::select! {
                Some(call) = self.calls.recv(), if running.len() < MAX_CALLS => {
                    running.push(serve(Asked::Call(call)));
                }
                Some(()) = running.next() => {}
                Some(incoming) = self.streams.recv() => {
                    spawn_local(serve(Asked::Stream(incoming)));
                }
                else => return,
            }
        }
    }
}
