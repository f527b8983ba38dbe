//! The state machine: programs of one group.

use {
    crate::{
        Answer, Command, History, LedgerLimits, MemoryHistory, Op, Program, Query, Reply, refuse,
    },
    indexmap::IndexMap,
    quay_quorum::StateMachine,
    quay_types::{
        AccountId, ConfigIndex, Epoch, ErrorKind, GroupId, LogIndex, NewProgram, ProgramId,
        ProgramStatus, Result, Tokens,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Programs that one command ends or forgets at most, so that none takes long.
const EXPIRE_BATCH: usize = 64;

/// Everything but the histories, as it is replicated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct State {
    /// Group that this ledger is for.
    pub group: GroupId,
    /// Bounds.
    pub limits: LedgerLimits,
    /// Latest time of any command, in milliseconds; never falls.
    pub now_ms: u64,
    /// Entries with an older configuration get no permit.
    pub config_floor: ConfigIndex,
    /// Programs, ended ones until their retention is over.
    pub programs: IndexMap<ProgramId, Program>,
    /// Root programs of each account.
    pub accounts: IndexMap<AccountId, u32>,
    /// Programs by the time at which they end at the latest; only open ones.
    pub expiries: BTreeSet<(u64, ProgramId)>,
    /// Ended root programs by the time of their end.
    pub ended: BTreeSet<(u64, ProgramId)>,
}

/// Programs of one group with their histories.
///
/// Every command leaves these true, and asserts them for the program it
/// changed: `used + reserved <= budget`; at most one open call a program, the
/// last one; at most one permit that isn't refused for a call that may not run
/// twice; the reservations of a program are those of its attempts and grants.
#[derive(Debug)]
pub struct Ledger<H = MemoryHistory> {
    pub(crate) state: State,
    pub(crate) history: H,
}

/// Where a command stands in the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Position {
    pub index: LogIndex,
    pub epoch: Epoch,
}

impl<H: History> Ledger<H> {
    /// A ledger of `group` without programs.
    #[must_use]
    pub fn new(group: GroupId, limits: LedgerLimits) -> Self {
        let state = State {
            group,
            limits,
            now_ms: 0,
            config_floor: ConfigIndex(0),
            programs: IndexMap::new(),
            accounts: IndexMap::new(),
            expiries: BTreeSet::new(),
            ended: BTreeSet::new(),
        };
        Self {
            state,
            history: H::default(),
        }
    }

    /// Programs that are kept, ended ones too.
    #[must_use]
    pub fn program_count(&self) -> usize {
        self.state.programs.len()
    }

    /// Asserts the invariants of every program.
    pub fn assert_invariants(&self) {
        for id in self.state.programs.keys() {
            self.assert_program_invariants(*id);
        }
        let roots = self.state.programs.keys().filter(|id| id.is_root()).count();
        let counted: u32 = self.state.accounts.values().sum();
        assert_eq!(roots, counted as usize, "accounts count their programs");
    }

    /// Asserts the invariants of a program and of its parent.
    pub(crate) fn assert_program_invariants(&self, id: ProgramId) {
        let mut next = Some(id);
        while let Some(id) = next {
            let Some(program) = self.state.programs.get(&id) else {
                return;
            };
            program.assert_invariants(self.granted(id));
            next = program.parent.map(|branch| id.sub_agent(branch));
        }
    }

    /// Tokens of a program's budget that its sub-agents hold.
    fn granted(&self, id: ProgramId) -> u64 {
        let tree = self.tree(id);
        let children = tree.filter_map(|child| self.state.programs.get(&child));
        children
            .filter(|child| child.parent == Some(id.branch) && child.grant_open)
            .map(|child| child.budget.limit().0)
            .sum()
    }

    /// Every program of the tree that `id` belongs to, the root first.
    pub(crate) fn tree(&self, id: ProgramId) -> impl Iterator<Item = ProgramId> + use<H> {
        let root = ProgramId::root(id.root);
        let branches = self.state.programs.get(&root).map_or(0, |it| it.sub_agents);
        (0..=branches).map(move |branch| root.sub_agent(branch))
    }

    /// The program, if `account` owns it.
    pub(crate) fn owned(&self, id: ProgramId, account: AccountId) -> Result<&Program> {
        match self.state.programs.get(&id) {
            Some(program) if program.account == account => Ok(program),
            Some(_) => Err(refuse(
                ErrorKind::Forbidden,
                "the program belongs to another account",
            )),
            None => Err(refuse(
                ErrorKind::NotFound,
                "there is no such program, or it ended long ago",
            )),
        }
    }

    // -----------------------------------------------------------------------
    // Creating and ending

    /// Creates a program, or finds the one that the same request created.
    fn create(&mut self, new: &NewProgram) -> Result<ProgramId> {
        if new.sub_agent {
            self.create_sub_agent(new)
        } else {
            self.create_root(new).map(|()| new.program)
        }
    }

    /// Creates a root program.
    pub(crate) fn create_root(&mut self, new: &NewProgram) -> Result<()> {
        if !new.program.is_root() {
            return Err(refuse(ErrorKind::BadRequest, "the id is a sub-agent's"));
        }
        if self.state.programs.contains_key(&new.program) {
            let known = self.owned(new.program, new.account)?;
            return same(known, new);
        }
        self.room_for(new.account)?;
        let program = Program::new(new, self.state.now_ms, None, 0);
        let expiry = (program.expires_ms, new.program);
        self.state.expiries.insert(expiry);
        self.state.programs.insert(new.program, program);
        *self.state.accounts.entry(new.account).or_default() += 1;
        Ok(())
    }

    /// Refuses a new program over the bounds. Kept programs are never dropped
    /// early for new ones: their outcomes are what keeps a resend from running.
    fn room_for(&self, account: AccountId) -> Result<()> {
        if self.state.programs.len() >= self.state.limits.programs as usize {
            return Err(refuse(ErrorKind::Overloaded, "the ledger group is full"));
        }
        let own = self.state.accounts.get(&account).copied();
        if own.unwrap_or_default() >= self.state.limits.account_programs {
            return Err(refuse(
                ErrorKind::AccountLimit,
                "the account has too many programs",
            ));
        }
        Ok(())
    }

    /// Creates a sub-agent and carves its budget from its parent's.
    fn create_sub_agent(&mut self, new: &NewProgram) -> Result<ProgramId> {
        let parent_id = new.program;
        self.owned(parent_id, new.account)?;
        if let Some(id) = self.sub_agent_of_key(parent_id, new) {
            return same(&self.state.programs[&id], new).map(|()| id);
        }
        let root_id = ProgramId::root(parent_id.root);
        let root = &self.state.programs[&root_id];
        let parent = &self.state.programs[&parent_id];
        if parent.ended_ms.is_some() {
            return Err(refuse(ErrorKind::ProgramEnded, "the parent has ended"));
        }
        if root.sub_agents >= root.limits.sub_agents {
            return Err(refuse(ErrorKind::ProgramLimit, "too many sub-agents"));
        }
        if parent.depth >= root.limits.depth {
            return Err(refuse(ErrorKind::ProgramLimit, "sub-agents nest too deep"));
        }
        if self.state.programs.len() >= self.state.limits.programs as usize {
            return Err(refuse(ErrorKind::Overloaded, "the ledger group is full"));
        }
        let id = parent_id.sub_agent(root.sub_agents + 1);
        let mut child = Program::new(
            new,
            self.state.now_ms,
            Some(parent_id.branch),
            parent.depth + 1,
        );
        child.expires_ms = child.expires_ms.min(parent.expires_ms);
        if !self.state.programs[&parent_id]
            .budget
            .reserve(new.limits.budget)
        {
            return Err(refuse(
                ErrorKind::BudgetExceeded,
                "the parent's budget does not cover the grant",
            ));
        }
        self.state.programs[&root_id].sub_agents += 1;
        self.state.expiries.insert((child.expires_ms, id));
        self.state.programs.insert(id, child);
        self.assert_program_invariants(id);
        Ok(id)
    }

    /// The sub-agent of `parent` that a request with the same key created.
    fn sub_agent_of_key(&self, parent: ProgramId, new: &NewProgram) -> Option<ProgramId> {
        let mut tree = self.tree(parent).skip(1);
        tree.find(|id| {
            let known = self.state.programs.get(id);
            known.is_some_and(|it| it.parent == Some(parent.branch) && it.key == new.key)
        })
    }

    /// Ends a program and everything below it.
    pub(crate) fn end(&mut self, id: ProgramId) {
        let below: Vec<_> = self.tree(id).filter(|it| self.is_below(*it, id)).collect();
        // Children first, so that each grant is back before its parent ends.
        for id in below.into_iter().rev() {
            self.end_one(id);
        }
        self.assert_program_invariants(id);
    }

    /// Whether `id` is `ancestor` or below it.
    fn is_below(&self, id: ProgramId, ancestor: ProgramId) -> bool {
        let mut next = Some(id);
        while let Some(id) = next {
            if id == ancestor {
                return true;
            }
            let program = self.state.programs.get(&id);
            let parent = program.and_then(|program| program.parent);
            next = parent.map(|branch| id.sub_agent(branch));
        }
        false
    }

    /// Ends one program; its open attempt may still settle.
    fn end_one(&mut self, id: ProgramId) {
        let now_ms = self.state.now_ms;
        let Some(program) = self.state.programs.get_mut(&id) else {
            return;
        };
        if program.ended_ms.is_some() {
            return;
        }
        program.ended_ms = Some(now_ms);
        self.state.expiries.remove(&(program.expires_ms, id));
        if id.is_root() {
            self.state.ended.insert((now_ms, id));
        }
        self.return_grant(id);
    }

    /// Gives back what an ended sub-agent can't use any more, and so upwards.
    pub(crate) fn return_grant(&mut self, id: ProgramId) {
        let mut next = Some(id);
        while let Some(id) = next {
            let program = &mut self.state.programs[&id];
            let (Some(branch), true, true) = (
                program.parent,
                program.grant_open,
                program.ended_ms.is_some(),
            ) else {
                return;
            };
            let free = program.budget.shrink();
            let spent = program.budget.used();
            let settled = program.budget.reserved().0 == 0;
            program.grant_open = !settled;
            let parent_id = id.sub_agent(branch);
            let parent = &mut self.state.programs[&parent_id];
            parent.budget.charge(free, Tokens(0));
            if settled {
                parent.budget.charge(spent, spent);
            }
            next = Some(parent_id);
        }
    }

    // -----------------------------------------------------------------------
    // Time

    /// Moves the time on, then ends and forgets what is due.
    fn advance(&mut self, at_ms: u64) {
        self.state.now_ms = self.state.now_ms.max(at_ms);
        for _ in 0..EXPIRE_BATCH {
            let Some((_, id)) = first_due(&self.state.expiries, self.state.now_ms) else {
                break;
            };
            self.end(id);
        }
        let retention_ms = u64::from(self.state.limits.retention_s) * 1_000;
        for _ in 0..EXPIRE_BATCH {
            let Some((_, id)) = first_due(
                &self.state.ended,
                self.state.now_ms.saturating_sub(retention_ms),
            ) else {
                break;
            };
            self.forget(id);
        }
    }

    /// Forgets a whole tree.
    pub(crate) fn forget(&mut self, root: ProgramId) {
        let tree: Vec<_> = self.tree(root).collect();
        for id in tree {
            self.history.remove_program(id);
            let Some(program) = self.state.programs.swap_remove(&id) else {
                continue;
            };
            self.state.expiries.remove(&(program.expires_ms, id));
            if let Some(ended_ms) = program.ended_ms {
                self.state.ended.remove(&(ended_ms, id));
            }
            if let Some(count) = self.state.accounts.get_mut(&program.account)
                && id.is_root()
            {
                *count -= 1;
                if *count == 0 {
                    self.state.accounts.swap_remove(&program.account);
                }
            }
        }
    }

    // -----------------------------------------------------------------------
    // Asking

    /// A program with its history.
    fn show(&self, id: ProgramId, account: AccountId) -> Result<Box<ProgramStatus>> {
        let program = self.owned(id, account)?;
        Ok(Box::new(ProgramStatus {
            program: id,
            account,
            limits: program.limits,
            used: program.budget.used(),
            reserved: program.budget.reserved(),
            ended: program.ended_ms.is_some(),
            calls: self.history.calls(id, program.last_call().0),
        }))
    }

    /// Whether a program has ended; one that is not known has ended long ago.
    fn has_ended(&self, id: ProgramId) -> bool {
        let program = self.state.programs.get(&id);
        program.is_none_or(|program| program.ended_ms.is_some())
    }
}

/// Accepts a resend and refuses other content under the same identity.
fn same(known: &Program, new: &NewProgram) -> Result<()> {
    if known.matches_request(new) {
        Ok(())
    } else {
        Err(refuse(
            ErrorKind::Conflict,
            "the key was used before for another program",
        ))
    }
}

/// First item of a queue whose time is `now_ms` or earlier.
fn first_due(queue: &BTreeSet<(u64, ProgramId)>, now_ms: u64) -> Option<(u64, ProgramId)> {
    queue.first().copied().filter(|(due, _)| *due <= now_ms)
}

impl<H: History> StateMachine for Ledger<H> {
    type Command = Command;
    type Reply = Reply;
    type Query = Query;
    type Answer = Answer;
    type Snapshot = LedgerSnapshot<H::Snapshot>;

    fn apply(&mut self, index: LogIndex, epoch: Epoch, command: Command) -> Reply {
        self.advance(command.at_ms);
        match command.op {
            Op::Create(new) => match self.create(&new) {
                Ok(id) => Reply::Created(id),
                Err(err) => Reply::Refused(err),
            },
            Op::Begin(begin) => Reply::Begin(self.begin(Position { index, epoch }, begin)),
            Op::Settle(settle) => self.settle(settle),
            Op::GiveUp(id, key) => {
                self.give_up(id, key);
                Reply::Done
            }
            Op::End(id, account) => match self.owned(id, account).map(drop) {
                Ok(()) => {
                    self.end(id);
                    Reply::Done
                }
                Err(err) => Reply::Refused(err),
            },
            Op::ConfigFloor(floor) => {
                self.state.config_floor = self.state.config_floor.max(floor);
                Reply::Done
            }
            Op::Expire => Reply::Done,
        }
    }

    fn query(&self, query: &Query) -> Answer {
        match query {
            Query::Show(id, account) => match self.show(*id, *account) {
                Ok(status) => Answer::Program(status),
                Err(err) => Answer::Refused(err),
            },
            Query::Ended(ids) => {
                let ended = ids.iter().filter(|id| self.has_ended(**id));
                Answer::Ended(ended.copied().collect())
            }
        }
    }

    fn snapshot(&self) -> Self::Snapshot {
        LedgerSnapshot {
            state: self.state.clone(),
            history: self.history.snapshot(),
        }
    }

    fn restore(&mut self, snapshot: Self::Snapshot) {
        self.state = snapshot.state;
        self.history.restore(snapshot.history);
    }
}

/// A copy of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSnapshot<S> {
    state: State,
    history: S,
}
