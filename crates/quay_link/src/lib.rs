//! Links between sapphirequay processes: QUIC with mutual TLS and frames encoded by
//! `postcard`. A request has a stream of its own, or is a call that shares one with
//! others.
//!
//! Network I/O runs on a dedicated thread by default. Other threads use blocking
//! [`LinkStream`]s, so that callers of this crate need no asynchronous code.
//! [`Links::start_on_runtime`] serves callers that have a `tokio` runtime.
//!
//! ```
//! use quay_link::{DevelopmentKeys, LinkRole, LinkSettings, Links};
//!
//! let keys = DevelopmentKeys::generate().expect("keys");
//! let settings = LinkSettings {
//!     listen: Some("127.0.0.1:0".parse().expect("address")),
//!     ..LinkSettings::new(keys.identity(LinkRole::Ledger).expect("identity"))
//! };
//! let server = Links::start(settings, |incoming| {
//!     std::thread::spawn(move || {
//!         let text: String = incoming.first.decode().expect("frame");
//!         incoming.stream.send(&text.len()).expect("reply");
//!     });
//! })
//! .expect("server");
//!
//! let client = Links::connect_only(keys.identity(LinkRole::Entry).expect("identity")).expect("client");
//! let addr = server.local_addr().expect("address");
//! let mut stream = client.open(addr, LinkRole::Ledger, &"hello").expect("stream");
//! assert_eq!(stream.recv::<usize>().expect("reply"), 5);
//! ```

mod accept;
mod calls;
mod endpoint;
mod error;
mod frame;
mod frame_memory;
mod identity;
mod keys;
mod links;
mod stop;
mod stream;
mod transfer;

pub use {
    calls::IncomingCall,
    error::LinkError,
    frame::{Encoded, Frame, MAX_FRAME_BYTES},
    frame_memory::{FrameMemory, FramePermit},
    identity::{Identity, LinkRole},
    keys::{DevelopmentKeys, KeyFiles},
    links::{Incoming, LinkSettings, Links},
    stream::LinkStream,
};
