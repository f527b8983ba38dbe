//! Replicated state machine that holds the programs of one ledger group.

use {
    crate::{
        Answer, Command, History, LedgerLimits, MemoryHistory, Op, Program, Query, Reply, refusal,
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

/// Maximum number of programs that one command ends, and that it removes, so
/// that no command takes long.
const EXPIRE_BATCH: usize = 64;

/// Replicated state without the histories.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct State {
    /// Ledger group that this state belongs to.
    pub group: GroupId,
    /// Limits of the group.
    pub limits: LedgerLimits,
    /// Latest time of any command, in milliseconds since the Unix epoch; never
    /// decreases.
    pub now_ms: u64,
    /// Oldest configuration with which an entry gets permits.
    pub config_floor: ConfigIndex,
    /// Open programs, and ended programs within their retention.
    pub programs: IndexMap<ProgramId, Program>,
    /// Number of root programs of each account.
    pub accounts: IndexMap<AccountId, u32>,
    /// Open programs by expiry time in milliseconds.
    pub expiries: BTreeSet<(u64, ProgramId)>,
    /// Ended root programs by the time of their end in milliseconds.
    pub ended: BTreeSet<(u64, ProgramId)>,
}

/// Programs of one ledger group with their histories.
///
/// Each command preserves these invariants and asserts them for the program
/// that it changed:
///
/// - `used + reserved <= budget`.
/// - A program has at most one open call, which is its last call.
/// - A call that may not run twice has at most one permit that is not refused.
/// - The tokens reserved by a program are those of its open and lost attempts
///   and of its grants to sub-agents.
#[derive(Debug)]
pub struct Ledger<H = MemoryHistory> {
    pub(crate) state: State,
    pub(crate) history: H,
}

/// Position of a command in the replicated log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogPosition {
    pub index: LogIndex,
    pub epoch: Epoch,
}

impl<H: History> Ledger<H> {
    /// Creates a ledger for `group` without programs.
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

    /// Number of programs, including ended ones.
    #[must_use]
    pub fn program_count(&self) -> usize {
        self.state.programs.len()
    }

    /// Asserts the invariants of all programs and of the per-account counters.
    pub fn assert_invariants(&self) {
        for id in self.state.programs.keys() {
            self.assert_program_invariants(*id);
        }
        let roots = self.state.programs.keys().filter(|id| id.is_root()).count();
        let counted: u32 = self.state.accounts.values().sum();
        assert_eq!(
            roots, counted as usize,
            "root programs equal the sum of the account counters"
        );
    }

    /// Asserts the invariants of a program and of its ancestors.
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

    /// Tokens of a program's budget that are granted to its sub-agents.
    fn granted(&self, id: ProgramId) -> u64 {
        let tree = self.tree(id);
        let children = tree.filter_map(|child| self.state.programs.get(&child));
        children
            .filter(|child| child.parent == Some(id.branch) && child.grant_open)
            .map(|child| child.budget.limit().0)
            .sum()
    }

    /// Ids of all programs in the tree that contains `id`, root first.
    pub(crate) fn tree(&self, id: ProgramId) -> impl Iterator<Item = ProgramId> + use<H> {
        let root = ProgramId::root(id.root);
        let branches = self
            .state
            .programs
            .get(&root)
            .map_or(0, |program| program.sub_agents);
        (0..=branches).map(move |branch| root.sub_agent(branch))
    }

    /// Returns the program if `account` owns it, otherwise an error.
    pub(crate) fn owned(&self, id: ProgramId, account: AccountId) -> Result<&Program> {
        match self.state.programs.get(&id) {
            Some(program) if program.account == account => Ok(program),
            Some(_) => Err(refusal(
                ErrorKind::Forbidden,
                "the program belongs to another account",
            )),
            None => Err(refusal(
                ErrorKind::NotFound,
                "the program does not exist, or its retention has passed",
            )),
        }
    }

    // -----------------------------------------------------------------------
    // Creation and end

    /// Creates a program, or returns the one that the same request created.
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
            return Err(refusal(
                ErrorKind::BadRequest,
                "the id of a root program was expected, not of a sub-agent",
            ));
        }
        if self.state.programs.contains_key(&new.program) {
            let known = self.owned(new.program, new.account)?;
            return check_same_request(known, new);
        }
        self.check_capacity(new.account)?;
        let program = Program::new(new, self.state.now_ms, None, 0);
        let expiry = (program.expires_ms, new.program);
        self.state.expiries.insert(expiry);
        self.state.programs.insert(new.program, program);
        *self.state.accounts.entry(new.account).or_default() += 1;
        Ok(())
    }

    /// Refuses a new program above the limits. Ended programs are not evicted
    /// early to make room: their recorded outcomes prevent a resend from
    /// running again.
    fn check_capacity(&self, account: AccountId) -> Result<()> {
        if self.state.programs.len() >= self.state.limits.programs as usize {
            return Err(refusal(ErrorKind::Overloaded, "the ledger group is full"));
        }
        let own = self.state.accounts.get(&account).copied();
        if own.unwrap_or_default() >= self.state.limits.account_programs {
            return Err(refusal(
                ErrorKind::AccountLimit,
                "the account has reached its limit of programs",
            ));
        }
        Ok(())
    }

    /// Creates a sub-agent and reserves its budget in the parent's budget.
    fn create_sub_agent(&mut self, new: &NewProgram) -> Result<ProgramId> {
        let parent_id = new.program;
        self.owned(parent_id, new.account)?;
        if let Some(id) = self.sub_agent_of_key(parent_id, new) {
            return check_same_request(&self.state.programs[&id], new).map(|()| id);
        }
        let root_id = ProgramId::root(parent_id.root);
        let root = &self.state.programs[&root_id];
        let parent = &self.state.programs[&parent_id];
        if parent.ended_ms.is_some() {
            return Err(refusal(
                ErrorKind::ProgramEnded,
                "the parent program has ended",
            ));
        }
        if root.sub_agents >= root.limits.sub_agents {
            return Err(refusal(
                ErrorKind::ProgramLimit,
                "the program tree has reached its limit of sub-agents",
            ));
        }
        if parent.depth >= root.limits.depth {
            return Err(refusal(
                ErrorKind::ProgramLimit,
                "the program tree has reached its limit of depth",
            ));
        }
        if self.state.programs.len() >= self.state.limits.programs as usize {
            return Err(refusal(ErrorKind::Overloaded, "the ledger group is full"));
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
            return Err(refusal(
                ErrorKind::BudgetExceeded,
                "the parent's budget does not cover the budget of the sub-agent",
            ));
        }
        self.state.programs[&root_id].sub_agents += 1;
        self.state.expiries.insert((child.expires_ms, id));
        self.state.programs.insert(id, child);
        self.assert_program_invariants(id);
        Ok(id)
    }

    /// Sub-agent of `parent` that was created by a request with the same key.
    fn sub_agent_of_key(&self, parent: ProgramId, new: &NewProgram) -> Option<ProgramId> {
        let mut tree = self.tree(parent).skip(1);
        tree.find(|id| {
            let known = self.state.programs.get(id);
            known.is_some_and(|program| {
                program.parent == Some(parent.branch) && program.key == new.key
            })
        })
    }

    /// Ends a program and all sub-agents below it.
    pub(crate) fn end(&mut self, id: ProgramId) {
        let below: Vec<_> = self
            .tree(id)
            .filter(|other| self.is_below(*other, id))
            .collect();
        // Children first, so that their grants are returned before the parent
        // ends.
        for id in below.into_iter().rev() {
            self.end_single(id);
        }
        self.assert_program_invariants(id);
    }

    /// Whether `id` is `ancestor` or a descendant of it.
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

    /// Ends a single program. Its open attempt may still be settled.
    fn end_single(&mut self, id: ProgramId) {
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

    /// Returns the tokens that an ended sub-agent can no longer use to its
    /// parent, and so on for each ended ancestor.
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

    /// Advances the time, ends expired programs and removes those whose
    /// retention has passed.
    fn advance_time(&mut self, at_ms: u64) {
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
            self.remove_tree(id);
        }
    }

    /// Removes a root program and all its sub-agents.
    pub(crate) fn remove_tree(&mut self, root: ProgramId) {
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
    // Queries

    /// Returns the state and history of a program.
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

    /// Whether a program has ended. An unknown program counts as ended: it was
    /// removed after its retention.
    fn has_ended(&self, id: ProgramId) -> bool {
        let program = self.state.programs.get(&id);
        program.is_none_or(|program| program.ended_ms.is_some())
    }
}

/// Accepts a resend, and refuses a request with another key or other limits.
fn check_same_request(known: &Program, new: &NewProgram) -> Result<()> {
    if known.matches_request(new) {
        Ok(())
    } else {
        Err(refusal(
            ErrorKind::Conflict,
            "the program was created with another key or other limits",
        ))
    }
}

/// First item of a queue, if its time is `now_ms` or earlier.
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
        self.advance_time(command.at_ms);
        match command.op {
            Op::Create(new) => match self.create(&new) {
                Ok(id) => Reply::Created(id),
                Err(err) => Reply::Refused(err),
            },
            Op::Begin(begin) => Reply::Begin(self.begin(LogPosition { index, epoch }, begin)),
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

/// Snapshot of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSnapshot<S> {
    state: State,
    history: S,
}
