//! Threads that exchange the directory with the ledger hosts.

use {
    crate::{
        process::{GateMsg, Lifecycle, Mailbox, RouterMsg, SharedHealth},
        wire::LinkRequest,
    },
    quay_link::{LinkError, LinkRole, Links},
    quay_types::{Announcement, DirectoryReply, DirectoryRequest, UpstreamState},
    std::{net::SocketAddr, thread, time::Duration},
};

/// Interval between two announcements of a sidecar.
pub const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);

/// Interval between two reads of the directory by an entry.
const READ_EVERY: Duration = Duration::from_millis(250);

/// Sends one request to the keeper of the directory.
fn ask(
    links: &Links,
    addr: SocketAddr,
    req: DirectoryRequest,
) -> Result<DirectoryReply, LinkError> {
    links
        .open(addr, LinkRole::Ledger, &LinkRequest::Directory(req))?
        .recv()
}

/// What decides beside the gate whether the upstream takes new work.
#[derive(Debug)]
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

/// Announces an upstream to every ledger host until the process ends.
pub fn announce(
    links: &Links,
    ledgers: &[SocketAddr],
    gate: &Mailbox<GateMsg>,
    standing: &Standing,
    mut announcement: Announcement,
) {
    loop {
        let Some((load, state)) = gate.ask(GateMsg::Load) else {
            return;
        };
        announcement.sequence += 1;
        announcement.load = load;
        announcement.state = standing.state(state);
        for addr in ledgers {
            if let Err(err) = ask(
                links,
                *addr,
                DirectoryRequest::Announce(announcement.clone()),
            ) {
                log::warn!("event=announce_failed ledger={addr} cause={err:?}");
            }
        }
        thread::sleep(ANNOUNCE_EVERY);
    }
}

/// Feeds the directory to the router until the process ends.
pub fn read_directory(links: &Links, ledgers: &[SocketAddr], router: &Mailbox<RouterMsg>) {
    let mut version = 0;
    loop {
        for addr in ledgers {
            match ask(links, *addr, DirectoryRequest::Changes(version)) {
                Ok(reply) => {
                    if let DirectoryReply::Changes { version: read, .. } = &reply {
                        version = *read;
                    }
                    router.send(RouterMsg::Directory(reply));
                    break;
                }
                Err(err) => log::warn!("event=directory_read_failed ledger={addr} cause={err:?}"),
            }
        }
        thread::sleep(READ_EVERY);
    }
}
