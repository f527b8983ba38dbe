//! Threads that announce an upstream to the ledger hosts and read the upstream
//! directory from them.

use {
    crate::{
        process::{Clock, GateMsg, Lifecycle, Mailbox, RouterMsg, SharedHealth},
        wire::LinkRequest,
    },
    quay_link::{LinkError, LinkRole, Links},
    quay_members::{
        DirectoryView, HostContact, MembersReply, MembersRequest, MembersSettings, Pacer,
    },
    quay_types::{Announcement, ContentDigest, UpstreamState},
    rand::RngExt as _,
    std::{io, net::SocketAddr, thread, time::Duration},
};

/// Interval between directory reads by an entry whose view is complete.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between directory reads while the view is incomplete: before the
/// first reply, while replies are truncated, or after a failed read.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(250);

/// Sends one request to a ledger host, which stores the directory.
fn ask(links: &Links, addr: SocketAddr, req: MembersRequest) -> Result<MembersReply, LinkError> {
    links
        .open(addr, LinkRole::Ledger, &LinkRequest::Members(req))?
        .recv()
}

/// Conditions other than the admission gate that determine the announced state
/// of the upstream.
#[derive(Debug, Clone)]
pub struct StateSources {
    /// Tells whether this process is draining.
    pub lifecycle: Lifecycle,
    /// Health of the upstream.
    pub health: SharedHealth,
}

impl StateSources {
    /// State to announce, given the state reported by the admission gate.
    fn state(&self, gate: UpstreamState) -> UpstreamState {
        if self.lifecycle.draining() {
            UpstreamState::Draining
        } else {
            self.health.state(gate)
        }
    }
}

/// Announces one upstream to every ledger host, at each heartbeat.
#[derive(Debug, Clone)]
pub struct Announcer {
    /// Links to the hosts.
    pub links: Links,
    /// Admission gate, which reports load and state.
    pub gate: Mailbox<GateMsg>,
    /// Other conditions that the announced state depends on.
    pub state_sources: StateSources,
    /// Announcement to send; its sequence number, load and state are updated
    /// before each heartbeat.
    pub announcement: Announcement,
}

impl Announcer {
    /// Starts a thread for each host, so that an unresponsive host does not
    /// delay the announcements to the others.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be created.
    pub fn start(&self, hosts: &[SocketAddr]) -> io::Result<()> {
        for host in hosts.iter().copied() {
            let announcer = self.clone();
            thread::Builder::new()
                .name("announcer".into())
                .spawn(move || announcer.run(host))?;
        }
        Ok(())
    }

    /// Announces to one host until the admission gate stops.
    fn run(mut self, host: SocketAddr) {
        let mut contact = HostContact::default();
        let mut pacer = Pacer::new(MembersSettings::default().heartbeat);
        loop {
            thread::sleep(pacer.next_wait(rand::rng().random()));
            let Some((load, state)) = self.gate.ask(GateMsg::Load) else {
                return;
            };
            self.announcement.sequence += 1;
            self.announcement.load = load;
            self.announcement.state = self.state_sources.state(state);
            let reply = ask(&self.links, host, contact.next_request(&self.announcement));
            if let Err(err) = &reply {
                log::warn!("event=announce_failed ledger={host} cause={err:?}");
            }
            pacer.record_outcome(reply.is_ok());
            contact.on_reply(reply.as_ref().ok());
        }
    }
}

/// Reads the upstream directory and passes it to the router of an entry.
#[derive(Debug)]
pub struct DirectoryReader {
    /// Name of the entry process.
    pub name: Box<str>,
    /// Links to the hosts.
    pub links: Links,
    /// Receives the directory entries.
    pub router: Mailbox<RouterMsg>,
    /// Clock of the process.
    pub clock: Clock,
}

impl DirectoryReader {
    /// Reads the directory until the process ends; returns at once if `hosts` is
    /// empty.
    pub fn run(&self, hosts: &[SocketAddr]) {
        let id = ContentDigest::of(&[b"reader", self.name.as_bytes()]).to_u64();
        // Entries start at different hosts to spread the load, and move to the
        // next host when a read fails.
        let mut host_index = usize::try_from(id).unwrap_or_default();
        let mut view = DirectoryView::default();
        let mut steady = Pacer::new(READ_INTERVAL);
        let mut catch_up = Pacer::new(CATCH_UP_INTERVAL);
        while !hosts.is_empty() {
            let host = hosts[host_index % hosts.len()];
            let applied = self.read(host, id, &mut view);
            if !applied {
                host_index = host_index.wrapping_add(1);
            }
            let pacer = if applied && view.complete() && !view.has_more() {
                &mut steady
            } else {
                &mut catch_up
            };
            thread::sleep(pacer.next_wait(rand::rng().random()));
        }
    }

    /// Reads once; returns `false` if the read failed or the reply does not apply
    /// to the view.
    fn read(&self, host: SocketAddr, id: u64, view: &mut DirectoryView) -> bool {
        let reply = ask(
            &self.links,
            host,
            MembersRequest::Changes(view.next_request(id)),
        );
        let changes = match reply {
            Ok(MembersReply::Changes(changes)) => changes,
            Ok(_) => return false,
            Err(err) => {
                log::warn!("event=directory_read_failed ledger={host} cause={err:?}");
                return false;
            }
        };
        let now = self.clock.now();
        let applied = view.apply(now, changes);
        if applied {
            self.router.send(RouterMsg::Directory(view.entries(now)));
        }
        applied
    }
}
