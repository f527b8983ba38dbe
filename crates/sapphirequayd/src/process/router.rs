//! Chooses an upstream for each attempt of a call.

use {
    crate::process::Machine,
    indexmap::IndexMap,
    quay_types::{
        CallTarget, DirectoryEntry, DirectoryReply, Incarnation, Time, UpstreamId, UpstreamKind,
        UpstreamState,
    },
    std::{net::SocketAddr, sync::mpsc::SyncSender, time::Duration},
};

/// The upstream that an attempt goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Run of its sidecar.
    pub incarnation: Incarnation,
    /// Address of its sidecar.
    pub addr: SocketAddr,
}

/// What the router is told.
pub enum RouterMsg {
    /// What a ledger host says of the directory.
    Directory(DirectoryReply),
    /// Asks for an upstream, less those that were tried already.
    Pick {
        /// What is to be run.
        target: CallTarget,
        /// Upstreams that refused or failed this call.
        tried: Box<[UpstreamId]>,
        /// Takes the choice; `None` if no upstream fits.
        reply: SyncSender<Option<Pick>>,
    },
    /// Asks where the sidecar of an upstream is.
    Find(UpstreamId, SyncSender<Option<Pick>>),
    /// An attempt has ended.
    Done(UpstreamId),
}

/// One upstream and what this entry has sent it.
struct Line {
    entry: DirectoryEntry,
    open: u32,
}

impl Line {
    /// Where an attempt on this upstream goes.
    const fn pick(&self, upstream: UpstreamId) -> Pick {
        Pick {
            upstream,
            incarnation: self.entry.announcement.incarnation,
            addr: self.entry.announcement.addr,
        }
    }
}

/// Routing state of an entry.
#[derive(Default)]
pub struct Router {
    lines: IndexMap<UpstreamId, Line>,
}

impl Router {
    /// Takes a read of the directory.
    fn learn(&mut self, reply: DirectoryReply) {
        let DirectoryReply::Changes {
            whole,
            entries,
            gone,
            ..
        } = reply
        else {
            return;
        };
        if whole {
            let listed: Vec<_> = entries
                .iter()
                .map(|entry| entry.announcement.upstream())
                .collect();
            self.lines.retain(|id, _| listed.contains(id));
        }
        for id in gone {
            self.lines.shift_remove(&id);
        }
        for entry in entries {
            let id = entry.announcement.upstream();
            let open = self.lines.get(&id).map_or(0, |line| line.open);
            self.lines.insert(id, Line { entry, open });
        }
    }

    /// The fitting upstream with the fewest calls.
    fn pick(&mut self, target: CallTarget, tried: &[UpstreamId]) -> Option<Pick> {
        let fitting = self
            .lines
            .iter_mut()
            .filter(|(id, line)| !tried.contains(id) && fits(&line.entry, target));
        let (id, line) = fitting.min_by_key(|(_, line)| {
            let load = line.entry.announcement.load;
            load.queued + load.running + line.open
        })?;
        line.open += 1;
        Some(line.pick(*id))
    }
}

/// Whether an upstream serves `target` and takes new work.
fn fits(entry: &DirectoryEntry, target: CallTarget) -> bool {
    let announcement = &entry.announcement;
    let serves = match (&announcement.kind, target) {
        (UpstreamKind::Engine { models }, CallTarget::Model(model)) => models.contains(&model),
        (UpstreamKind::Service { service }, CallTarget::Service(wanted)) => *service == wanted,
        _ => false,
    };
    serves && announcement.state == UpstreamState::Serving
}

impl Machine for Router {
    type Msg = RouterMsg;

    const TICK: Duration = Duration::from_millis(250);

    fn handle(&mut self, _: Time, msg: RouterMsg) {
        match msg {
            RouterMsg::Directory(reply) => self.learn(reply),
            RouterMsg::Pick {
                target,
                tried,
                reply,
            } => drop(reply.send(self.pick(target, &tried))),
            RouterMsg::Find(id, reply) => {
                let pick = self.lines.get(&id).map(|line| line.pick(id));
                let _ = reply.send(pick);
            }
            RouterMsg::Done(id) => {
                if let Some(line) = self.lines.get_mut(&id) {
                    line.open = line.open.saturating_sub(1);
                }
            }
        }
    }

    fn tick(&mut self, _: Time) {}
}
