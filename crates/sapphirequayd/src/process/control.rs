//! Serves requests to the control group on a ledger host.

use {
    crate::process::{
        Clock, ControlReply, ControlRequest, ControlStatus, DaemonRow, GroupError, GroupMsg,
        Mailbox, MemberRow, OperatorCommand, directory::DirectoryMsg,
    },
    indexmap::IndexMap,
    quay_config::{
        Action, ChangeId, ConfigAnswer, ConfigCommand, ConfigQuery, ConfigStore, MinConfigIndex,
        Origin,
    },
    quay_link::Incoming,
    quay_types::{ConfigIndex, Error, Time},
    std::{
        fmt,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread,
        time::Duration,
    },
};

/// Number of daemons whose last poll a host records.
const MAX_DAEMONS: usize = 4_096;

/// Longest daemon name that is recorded, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Interval between attempts to commit the first document, until a document is
/// in force.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(500);

/// Change id and author of the first document. Every host uses the same id, so
/// that the group applies the document once.
const FIRST_DOCUMENT: &str = "first-document";

/// Mailbox of this host's replica of the control group.
pub type ControlGroup = Mailbox<GroupMsg<ConfigStore>>;

/// Daemons by name: the configuration index reported last, and the time of that
/// report.
type Daemons = IndexMap<Box<str>, (ConfigIndex, Time)>;

/// Serves the control group on this host; clones share the state.
#[derive(Clone)]
pub struct ControlService {
    group: ControlGroup,
    directory: Mailbox<DirectoryMsg>,
    daemons: Arc<Mutex<Daemons>>,
    min_index: Arc<Mutex<MinConfigIndex>>,
    clock: Clock,
}

impl fmt::Debug for ControlService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlService").finish_non_exhaustive()
    }
}

/// Locks a mutex and ignores poisoning: no panic leaves the values protected
/// here half updated.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ControlService {
    /// Creates a service over this host's replica and directory. `grace` applies
    /// until a document sets another grace period.
    #[must_use]
    pub fn new(
        group: ControlGroup,
        directory: Mailbox<DirectoryMsg>,
        clock: Clock,
        grace: Duration,
    ) -> Self {
        Self {
            group,
            directory,
            daemons: Arc::default(),
            min_index: Arc::new(Mutex::new(MinConfigIndex::new(grace))),
            clock,
        }
    }

    /// Starts a thread that proposes `text` as the first document until a
    /// document is in force or the proposal is refused.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub fn bootstrap(&self, text: Box<str>) -> std::io::Result<()> {
        let service = self.clone();
        thread::Builder::new()
            .name("bootstrap".into())
            .spawn(move || {
                while !service.try_bootstrap(&text) {
                    thread::sleep(BOOTSTRAP_INTERVAL);
                }
            })?;
        Ok(())
    }

    /// Proposes the first document once; returns `true` if no further attempt is
    /// needed.
    fn try_bootstrap(&self, text: &str) -> bool {
        match self.read(ConfigQuery::Status) {
            Ok(ConfigAnswer::Status(status)) if status.index > ConfigIndex(0) => return true,
            Ok(ConfigAnswer::Status(_)) => {}
            _ => return false,
        }
        let command = ConfigCommand {
            id: ChangeId(FIRST_DOCUMENT.into()),
            author: FIRST_DOCUMENT.into(),
            origin: Origin::Process,
            cause: "settings of the ledger hosts".into(),
            time_ms: Clock::wall_ms(),
            action: Action::Bootstrap(text.into()),
        };
        match self.propose(command) {
            ControlReply::Command(Err(refusal)) => {
                log::error!("event=first_document_refused cause={:?}", refusal.summary());
                true
            }
            ControlReply::Command(Ok(_)) => true,
            _ => false,
        }
    }

    /// Serves one request of a peer. The caller has checked that the role of the
    /// peer allows it.
    pub fn serve(&self, req: ControlRequest, peer: &Incoming) -> ControlReply {
        let holder = peer.holder.clone().unwrap_or_default();
        match req {
            ControlRequest::Poll { daemon, poll } => {
                self.record_daemon(&daemon, poll.index);
                self.answer(ConfigQuery::Poll(poll))
            }
            ControlRequest::Quarantine {
                id,
                digest,
                until_ms,
                cause,
            } => self.propose(ConfigCommand {
                id,
                author: holder,
                origin: Origin::Process,
                cause,
                time_ms: Clock::wall_ms(),
                action: Action::Quarantine(digest, until_ms),
            }),
            ControlRequest::Command(command) => self.execute(*command, holder),
            ControlRequest::Image => self.answer(ConfigQuery::Image),
            ControlRequest::Status => self.answer(ConfigQuery::Status),
            ControlRequest::Audit { after, limit } => {
                self.answer(ConfigQuery::Audit { after, limit })
            }
            ControlRequest::Members => ControlReply::Members(self.members()),
        }
    }

    /// Executes an operator's command. The author is taken from the certificate
    /// of the peer, not from the command.
    fn execute(&self, command: OperatorCommand, holder: Box<str>) -> ControlReply {
        let dry_run = command.dry_run;
        let command = ConfigCommand {
            id: command.id,
            author: holder,
            origin: Origin::Operator,
            cause: command.cause,
            time_ms: Clock::wall_ms(),
            action: command.action,
        };
        if dry_run {
            return self.answer(ConfigQuery::DryRun(Box::new(command)));
        }
        log::info!(
            "event=order author={} id={:?} action={:?}",
            command.author,
            command.id.0,
            command.action.to_string()
        );
        self.propose(command)
    }

    // -----------------------------------------------------------------------
    // Oldest accepted configuration index

    /// Records the index in force and the grace period set by the document.
    pub fn observe_config(&self, index: ConfigIndex, grace: Duration) {
        let mut min_index = lock(&self.min_index);
        min_index.set_grace(grace);
        min_index.observe(self.clock.now(), index);
    }

    /// Checks whether work begun under configuration `index` is still accepted.
    ///
    /// # Errors
    ///
    /// [`quay_types::ErrorKind::ConfigStale`] if the index is too old; the work
    /// has not run.
    pub fn check_index(&self, index: ConfigIndex) -> Result<(), Error> {
        lock(&self.min_index).check(self.clock.now(), index)
    }

    // -----------------------------------------------------------------------
    // Group, directory, daemons

    /// Records the configuration index that a daemon reported. Names that are too
    /// long, and new daemons beyond [`MAX_DAEMONS`], are ignored.
    fn record_daemon(&self, daemon: &str, index: ConfigIndex) {
        let mut daemons = lock(&self.daemons);
        let known = daemons.contains_key(daemon);
        if daemon.len() <= MAX_NAME_BYTES && (known || daemons.len() < MAX_DAEMONS) {
            daemons.insert(daemon.into(), (index, self.clock.now()));
        }
    }

    /// Last report of each daemon.
    fn daemons(&self) -> Box<[DaemonRow]> {
        let now = self.clock.now();
        let daemons = lock(&self.daemons);
        let rows = daemons.iter().map(|(name, (index, at))| DaemonRow {
            name: name.clone(),
            index: *index,
            age_ms: u64::try_from(now.since(*at).as_millis()).unwrap_or(u64::MAX),
        });
        rows.collect()
    }

    /// Upstream directory as seen by this host.
    fn members(&self) -> Box<[MemberRow]> {
        let lines = self.directory.ask(DirectoryMsg::Members);
        let lines = lines.unwrap_or_default().into_iter();
        lines.map(MemberRow::from).collect()
    }

    /// Proposes a command to the group and waits for its result.
    fn propose(&self, command: ConfigCommand) -> ControlReply {
        let result = self.group.ask(|reply| GroupMsg::Propose { command, reply });
        match result {
            Some(Ok(reply)) => ControlReply::Command(reply),
            Some(Err(err)) => reply_for_group_error(err),
            None => ControlReply::Unknown,
        }
    }

    /// Runs a linearizable query: the group answers from state that a quorum has
    /// confirmed.
    fn read(&self, query: ConfigQuery) -> Result<ConfigAnswer, GroupError> {
        let result = self.group.ask(|reply| GroupMsg::Read { query, reply });
        result.unwrap_or(Err(GroupError::Unavailable))
    }

    /// Runs a query and converts its result into a reply.
    fn answer(&self, query: ConfigQuery) -> ControlReply {
        match self.read(query) {
            Ok(ConfigAnswer::Update(update)) => ControlReply::Update(update),
            Ok(ConfigAnswer::DryRun(reply)) => ControlReply::Command(reply),
            Ok(ConfigAnswer::Image(image)) => ControlReply::Image(image),
            Ok(ConfigAnswer::Audit(records)) => ControlReply::Audit(records),
            Ok(ConfigAnswer::Status(status)) => {
                ControlReply::Status(ControlStatus::new(status, self.daemons()))
            }
            Err(err) => reply_for_group_error(err),
        }
    }
}

/// Reply for a request that the group did not answer.
fn reply_for_group_error(err: GroupError) -> ControlReply {
    match err {
        GroupError::NotLeader(leader) => ControlReply::Redirect(leader),
        GroupError::Unavailable => ControlReply::NoQuorum,
        GroupError::Unknown => ControlReply::Unknown,
    }
}
