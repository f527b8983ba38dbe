//! Threads that exchange the directory with the ledger hosts.

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

/// Interval between two reads of the directory by an entry.
const READ_EVERY: Duration = Duration::from_secs(1);

/// Interval between two reads while answers are cut short, or before the first
/// answer.
const CATCH_UP_EVERY: Duration = Duration::from_millis(250);

/// Sends one request to a host that keeps the directory.
fn ask(links: &Links, addr: SocketAddr, req: MembersRequest) -> Result<MembersReply, LinkError> {
    links
        .open(addr, LinkRole::Ledger, &LinkRequest::Members(req))?
        .recv()
}

/// What decides beside the gate whether the upstream takes new work.
#[derive(Debug, Clone)]
pub struct Standing {
    /// Whether this process is leaving.
    pub lifecycle: Lifecycle,
    /// Health of the upstream.
    pub health: SharedHealth,
}

impl Standing {
    /// The state to announce, given what the gate says.
    fn state(&self, gate: UpstreamState) -> UpstreamState {
        if self.lifecycle.draining() {
            UpstreamState::Draining
        } else {
            self.health.state(gate)
        }
    }
}

/// Announces one upstream to every ledger host.
#[derive(Debug, Clone)]
pub struct Announcer {
    /// Links to the hosts.
    pub links: Links,
    /// Tells load and state.
    pub gate: Mailbox<GateMsg>,
    /// What else the state depends on.
    pub standing: Standing,
    /// What stays the same over one run of the sidecar.
    pub announcement: Announcement,
}

impl Announcer {
    /// Starts a thread for each host, so that one that does not answer holds
    /// up no other.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn start(&self, hosts: &[SocketAddr]) -> io::Result<()> {
        for host in hosts.iter().copied() {
            let announcer = self.clone();
            thread::Builder::new()
                .name("announcer".into())
                .spawn(move || announcer.run(host))?;
        }
        Ok(())
    }

    /// Announces to one host until the process ends.
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
            self.announcement.state = self.standing.state(state);
            let reply = ask(&self.links, host, contact.next_request(&self.announcement));
            if let Err(err) = &reply {
                log::warn!("event=announce_failed ledger={host} cause={err:?}");
            }
            pacer.record_outcome(reply.is_ok());
            contact.on_reply(reply.as_ref().ok());
        }
    }
}

/// Reads the directory for the router of an entry.
#[derive(Debug)]
pub struct Reader {
    /// Name of the entry.
    pub name: Box<str>,
    /// Links to the hosts.
    pub links: Links,
    /// Takes what is read.
    pub router: Mailbox<RouterMsg>,
    /// Time of the process.
    pub clock: Clock,
}

impl Reader {
    /// Reads until the process ends.
    pub fn run(&self, hosts: &[SocketAddr]) {
        let id = ContentDigest::of(&[b"reader", self.name.as_bytes()]).to_u64();
        // Entries spread over the hosts, and turn to the next when one fails.
        let mut turn = usize::try_from(id).unwrap_or_default();
        let mut view = DirectoryView::default();
        let mut steady = Pacer::new(READ_EVERY);
        let mut catch_up = Pacer::new(CATCH_UP_EVERY);
        while !hosts.is_empty() {
            let host = hosts[turn % hosts.len()];
            let learnt = self.read(host, id, &mut view);
            if !learnt {
                turn = turn.wrapping_add(1);
            }
            let pacer = if learnt && view.complete() && !view.has_more() {
                &mut steady
            } else {
                &mut catch_up
            };
            thread::sleep(pacer.next_wait(rand::rng().random()));
        }
    }

    /// Reads once; `false` if the host gave no fitting answer.
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
        let learnt = view.apply(now, changes);
        if learnt {
            self.router.send(RouterMsg::Directory(view.entries(now)));
        }
        learnt
    }
}
