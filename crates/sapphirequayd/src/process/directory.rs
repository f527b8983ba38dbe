//! Keeps the directory of upstreams on a ledger host.

use {
    crate::process::Machine,
    indexmap::IndexMap,
    quay_types::{
        Announcement, DirectoryEntry, DirectoryReply, DirectoryRequest, Time, UpstreamId,
    },
    std::{sync::mpsc::SyncSender, time::Duration},
};

/// An upstream that has not announced itself for so long is gone.
const LEASE: Duration = Duration::from_secs(2);

/// A request and where its answer goes.
pub struct DirectoryMsg {
    /// The request.
    pub req: DirectoryRequest,
    /// Takes the answer.
    pub reply: SyncSender<DirectoryReply>,
}

/// One known upstream.
struct Line {
    announcement: Announcement,
    heard: Time,
}

/// The directory.
#[derive(Default)]
pub struct Directory {
    lines: IndexMap<UpstreamId, Line>,
    version: u64,
}

impl Machine for Directory {
    type Msg = DirectoryMsg;

    const TICK: Duration = Duration::from_millis(250);

    fn handle(&mut self, now: Time, msg: DirectoryMsg) {
        let answer = match msg.req {
            DirectoryRequest::Announce(announcement) => {
                self.version += 1;
                self.lines.insert(
                    announcement.upstream(),
                    Line {
                        announcement,
                        heard: now,
                    },
                );
                DirectoryReply::Accepted
            }
            DirectoryRequest::Changes(_) => self.whole(now),
        };
        let _ = msg.reply.send(answer);
    }

    fn tick(&mut self, now: Time) {
        self.lines.retain(|_, line| now.since(line.heard) < LEASE);
    }
}

impl Directory {
    /// Every line, with its age.
    fn whole(&self, now: Time) -> DirectoryReply {
        let entries = self.lines.values().map(|line| DirectoryEntry {
            announcement: line.announcement.clone(),
            age_ms: u32::try_from(now.since(line.heard).as_millis()).unwrap_or(u32::MAX),
        });
        DirectoryReply::Changes {
            version: self.version,
            whole: true,
            entries: entries.collect(),
            gone: Box::default(),
        }
    }
}
