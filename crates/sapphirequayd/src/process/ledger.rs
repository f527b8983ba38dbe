//! Answers the ledger requests of entries and sidecars.

use {
    crate::process::{Clock, GroupError, GroupMsg, Mailbox},
    quay_ledger::{Answer, Command, Ledger, Op, Query, Reply},
    quay_types::{Error, ErrorKind, LedgerReply, LedgerRequest, ProgramId},
    std::{thread, time::Duration},
};

/// Interval at which each group ends and forgets what is due.
const EXPIRE_EVERY: Duration = Duration::from_secs(10);

/// A group of programs.
pub type ProgramGroup = Mailbox<GroupMsg<Ledger>>;

/// The ledger role of one host: its replicas of the program groups.
#[derive(Debug, Clone)]
pub struct LedgerService {
    /// By number, as [`ProgramId::group`] counts them.
    groups: Box<[ProgramGroup]>,
}

impl LedgerService {
    /// A service over the replicas of every program group.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn start(groups: impl Into<Box<[ProgramGroup]>>) -> std::io::Result<Self> {
        let service = Self {
            groups: groups.into(),
        };
        let expiring = service.clone();
        thread::Builder::new()
            .name("ledger-expiry".into())
            .spawn(move || expiring.expire())?;
        Ok(service)
    }

    /// Carries out one request; blocks until it is durable or refused.
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

    /// The group of a program.
    fn group(&self, id: ProgramId) -> Option<&ProgramGroup> {
        let groups = u16::try_from(self.groups.len()).unwrap_or(u16::MAX);
        self.groups.get(usize::from(id.group(groups).0))
    }

    /// Proposes a command with this host's wall time.
    fn propose(&self, id: ProgramId, op: Op) -> LedgerReply {
        let command = Command {
            at_ms: Clock::wall_ms(),
            op,
        };
        let asked = self
            .group(id)
            .and_then(|group| group.ask(|reply| GroupMsg::Propose { command, reply }));
        match asked {
            Some(Ok(reply)) => of_reply(reply),
            Some(Err(err)) => of_group_error(err),
            // The group stopped with the command in its hands.
            None => LedgerReply::Unknown,
        }
    }

    /// Asks a group from state that a quorum has confirmed.
    fn read(&self, id: ProgramId, query: Query) -> LedgerReply {
        let asked = self
            .group(id)
            .and_then(|group| group.ask(|reply| GroupMsg::Read { query, reply }));
        match asked {
            Some(Ok(Answer::Program(status))) => LedgerReply::Program(status),
            Some(Ok(Answer::Ended(ended))) => LedgerReply::Ended(ended),
            Some(Ok(Answer::Refused(err))) => LedgerReply::Refused(err),
            Some(Err(err)) => of_group_error(err),
            None => of_group_error(GroupError::Unavailable),
        }
    }

    /// Which programs have ended, of all groups. Groups that can't tell are
    /// left out, so that nothing counts as ended by mistake.
    fn ended(&self, ids: &[ProgramId]) -> LedgerReply {
        let groups = u16::try_from(self.groups.len()).unwrap_or(u16::MAX);
        if let Some(first) = ids.first().copied()
            && ids.iter().all(|id| id.group(groups) == first.group(groups))
        {
            // Of one group, so that another host can be named that leads it.
            return self.read(first, Query::Ended(ids.into()));
        }
        let mut ended = Vec::new();
        for number in 0..groups {
            let of_group = ids.iter().filter(|id| id.group(groups).0 == number);
            let of_group: Box<[_]> = of_group.copied().collect();
            let Some(first) = of_group.first().copied() else {
                continue;
            };
            if let LedgerReply::Ended(some) = self.read(first, Query::Ended(of_group)) {
                ended.extend(some);
            }
        }
        LedgerReply::Ended(ended.into())
    }

    /// Lets each group end and forget what is due, until the process ends.
    fn expire(&self) {
        loop {
            thread::sleep(EXPIRE_EVERY);
            for group in &self.groups {
                let command = Command {
                    at_ms: Clock::wall_ms(),
                    op: Op::Expire,
                };
                // Only the leader's proposal counts; the others are refused.
                let _ = group.ask(|reply| GroupMsg::Propose { command, reply });
            }
        }
    }
}

/// The reply to a command as the link carries it.
fn of_reply(reply: Reply) -> LedgerReply {
    match reply {
        Reply::Created(id) => LedgerReply::Created(id),
        Reply::Begin(reply) => LedgerReply::Begin(reply),
        Reply::Done => LedgerReply::Done,
        Reply::Superseded(outcome) => LedgerReply::Superseded(outcome),
        Reply::Refused(err) => LedgerReply::Refused(err),
    }
}

/// The reply where the group did not answer.
fn of_group_error(err: GroupError) -> LedgerReply {
    match err {
        GroupError::NotLeader(leader) => LedgerReply::Redirect(leader),
        GroupError::Unavailable => LedgerReply::Refused(Error::new(
            ErrorKind::LedgerUnavailable,
            "the ledger group has no quorum",
        )),
        GroupError::Unknown => LedgerReply::Unknown,
    }
}
