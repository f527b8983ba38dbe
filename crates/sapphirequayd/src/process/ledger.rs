//! Serves the ledger requests of entries and sidecars.

use {
    crate::process::{Clock, GroupError, GroupMsg, Mailbox},
    quay_ledger::{Answer, Command, Ledger, Op, Query, Reply},
    quay_types::{Error, ErrorKind, LedgerReply, LedgerRequest, ProgramId},
    std::{thread, time::Duration},
};

/// Interval between expiry commands, at which each group ends and removes
/// programs that are due.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Mailbox of a replica of a program group.
pub type ProgramGroup = Mailbox<GroupMsg<Ledger>>;

/// The ledger role of one host: its replicas of the program groups.
#[derive(Debug, Clone)]
pub struct LedgerService {
    /// Indexed by the number that [`ProgramId::group`] returns.
    groups: Box<[ProgramGroup]>,
}

impl LedgerService {
    /// Starts a service over the replicas of all program groups.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub fn start(groups: impl Into<Box<[ProgramGroup]>>) -> std::io::Result<Self> {
        let service = Self {
            groups: groups.into(),
        };
        let expiring = service.clone();
        thread::Builder::new()
            .name("ledger-expiry".into())
            .spawn(move || expiring.run_expiry())?;
        Ok(service)
    }

    /// Executes one request; blocks until the result is durable or the request is
    /// refused.
    pub fn serve(&self, req: LedgerRequest) -> LedgerReply {
        match req {
            LedgerRequest::Create(new) => self.propose(new.program, Op::Create(new)),
            LedgerRequest::Begin(begin) => self.propose(begin.program, Op::Begin(begin)),
            LedgerRequest::Settle(settle) => self.propose(settle.program, Op::Settle(settle)),
            LedgerRequest::GiveUp(id, key) => self.propose(id, Op::GiveUp(id, key)),
            LedgerRequest::End(id, account) => self.propose(id, Op::End(id, account)),
            LedgerRequest::Show(id, account) => self.read(id, Query::Show(id, account)),
            LedgerRequest::Ended(ids) => self.ended(&ids),
        }
    }

    /// Group that stores a program.
    fn group(&self, id: ProgramId) -> Option<&ProgramGroup> {
        let groups = u16::try_from(self.groups.len()).unwrap_or(u16::MAX);
        self.groups.get(usize::from(id.group(groups).0))
    }

    /// Proposes a command, stamped with the wall-clock time of this host.
    fn propose(&self, id: ProgramId, op: Op) -> LedgerReply {
        let command = Command {
            at_ms: Clock::wall_ms(),
            op,
        };
        let result = self
            .group(id)
            .and_then(|group| group.ask(|reply| GroupMsg::Propose { command, reply }));
        match result {
            Some(Ok(reply)) => ledger_reply(reply),
            Some(Err(err)) => reply_for_group_error(err),
            // The replica stopped before it replied; the command may have been
            // committed.
            None => LedgerReply::Unknown,
        }
    }

    /// Runs a linearizable query: the group answers from state that a quorum has
    /// confirmed.
    fn read(&self, id: ProgramId, query: Query) -> LedgerReply {
        let result = self
            .group(id)
            .and_then(|group| group.ask(|reply| GroupMsg::Read { query, reply }));
        match result {
            Some(Ok(Answer::Program(status))) => LedgerReply::Program(status),
            Some(Ok(Answer::Ended(ended))) => LedgerReply::Ended(ended),
            Some(Ok(Answer::Refused(err))) => LedgerReply::Refused(err),
            Some(Err(err)) => reply_for_group_error(err),
            None => reply_for_group_error(GroupError::Unavailable),
        }
    }

    /// Returns which of the programs have ended. Programs of a group that does
    /// not answer are left out, so that no running program is reported as ended.
    fn ended(&self, ids: &[ProgramId]) -> LedgerReply {
        let groups = u16::try_from(self.groups.len()).unwrap_or(u16::MAX);
        if let Some(first) = ids.first().copied()
            && ids.iter().all(|id| id.group(groups) == first.group(groups))
        {
            // All programs belong to one group, so the reply can redirect to the
            // leader of that group.
            return self.read(first, Query::Ended(ids.into()));
        }
        let mut ended = Vec::new();
        for number in 0..groups {
            let group_programs = ids.iter().filter(|id| id.group(groups).0 == number);
            let group_programs: Box<[_]> = group_programs.copied().collect();
            let Some(first) = group_programs.first().copied() else {
                continue;
            };
            if let LedgerReply::Ended(group_ended) = self.read(first, Query::Ended(group_programs))
            {
                ended.extend(group_ended);
            }
        }
        LedgerReply::Ended(ended.into())
    }

    /// Proposes an expiry command to each group at every interval, until the
    /// process ends.
    fn run_expiry(&self) {
        loop {
            thread::sleep(EXPIRY_INTERVAL);
            for group in &self.groups {
                let command = Command {
                    at_ms: Clock::wall_ms(),
                    op: Op::Expire,
                };
                // Every host proposes; only the leader's proposal is accepted.
                let _ = group.ask(|reply| GroupMsg::Propose { command, reply });
            }
        }
    }
}

/// Converts the result of a command into a reply to the peer.
fn ledger_reply(reply: Reply) -> LedgerReply {
    match reply {
        Reply::Created(id) => LedgerReply::Created(id),
        Reply::Begin(reply) => LedgerReply::Begin(reply),
        Reply::Done => LedgerReply::Done,
        Reply::Superseded(outcome) => LedgerReply::Superseded(outcome),
        Reply::Refused(err) => LedgerReply::Refused(err),
    }
}

/// Reply for a request that the group did not answer.
fn reply_for_group_error(err: GroupError) -> LedgerReply {
    match err {
        GroupError::NotLeader(leader) => LedgerReply::Redirect(leader),
        GroupError::Unavailable => LedgerReply::Refused(Error::new(
            ErrorKind::LedgerUnavailable,
            "the ledger group has no quorum",
        )),
        GroupError::Unknown => LedgerReply::Unknown,
    }
}
