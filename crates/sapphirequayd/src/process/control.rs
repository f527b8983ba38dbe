//! Answers requests to the control group on a ledger host.

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

/// Daemons that a host remembers.
const MAX_DAEMONS: usize = 4_096;

/// Longest name of a daemon, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Interval at which the first document is offered until it is in force.
const FOUND_EVERY: Duration = Duration::from_millis(500);

/// Id and author of the first document: the same from every host, so that the
/// group takes it once.
const FIRST_DOCUMENT: &str = "first-document";

/// The control group.
pub type ControlGroup = Mailbox<GroupMsg<ConfigStore>>;

/// Daemons by name: the index that they hold, and when they said so.
type Daemons = IndexMap<Box<str>, (ConfigIndex, Time)>;

/// This host's part in the control group; clones share it.
#[derive(Clone)]
pub struct ControlService {
    group: ControlGroup,
    directory: Mailbox<DirectoryMsg>,
    daemons: Arc<Mutex<Daemons>>,
    floor: Arc<Mutex<MinConfigIndex>>,
    clock: Clock,
}

impl fmt::Debug for ControlService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlService").finish_non_exhaustive()
    }
}

/// Locks what no panic can leave half done.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ControlService {
    /// A service over this host's replica and directory. `grace` holds until a
    /// document sets another.
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
            floor: Arc::new(Mutex::new(MinConfigIndex::new(grace))),
            clock,
        }
    }

    /// Offers a first document until one is in force.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn found(&self, text: Box<str>) -> std::io::Result<()> {
        let service = self.clone();
        thread::Builder::new()
            .name("control-found".into())
            .spawn(move || {
                while !service.offer(&text) {
                    thread::sleep(FOUND_EVERY);
                }
            })?;
        Ok(())
    }

    /// Offers the first document once; `true` if one is in force.
    fn offer(&self, text: &str) -> bool {
        match self.read(ConfigQuery::Status) {
            Ok(ConfigAnswer::Status(status)) if status.index > ConfigIndex(0) => return true,
            Ok(ConfigAnswer::Status(_)) => {}
            _ => return false,
        }
        let order = ConfigCommand {
            id: ChangeId(FIRST_DOCUMENT.into()),
            author: FIRST_DOCUMENT.into(),
            origin: Origin::Process,
            cause: "settings of the ledger hosts".into(),
            time_ms: Clock::wall_ms(),
            action: Action::Bootstrap(text.into()),
        };
        match self.propose(order) {
            ControlReply::Command(Err(refusal)) => {
                log::error!("event=first_document_refused cause={:?}", refusal.summary());
                true
            }
            ControlReply::Command(Ok(_)) => true,
            _ => false,
        }
    }

    /// Serves one request of a peer whose role may ask it.
    pub fn serve(&self, req: ControlRequest, peer: &Incoming) -> ControlReply {
        let holder = peer.holder.clone().unwrap_or_default();
        match req {
            ControlRequest::Poll { daemon, poll } => {
                self.note(&daemon, poll.index);
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
            ControlRequest::Command(order) => self.operator(*order, holder),
            ControlRequest::Image => self.answer(ConfigQuery::Image),
            ControlRequest::Status => self.answer(ConfigQuery::Status),
            ControlRequest::Audit { after, limit } => {
                self.answer(ConfigQuery::Audit { after, limit })
            }
            ControlRequest::Members => ControlReply::Members(self.members()),
        }
    }

    /// Carries out an operator's order. The author is who the certificate
    /// names, whatever the order says.
    fn operator(&self, order: OperatorCommand, holder: Box<str>) -> ControlReply {
        let dry_run = order.dry_run;
        let order = ConfigCommand {
            id: order.id,
            author: holder,
            origin: Origin::Operator,
            cause: order.cause,
            time_ms: Clock::wall_ms(),
            action: order.action,
        };
        if dry_run {
            return self.answer(ConfigQuery::DryRun(Box::new(order)));
        }
        log::info!(
            "event=order author={} id={:?} action={:?}",
            order.author,
            order.id.0,
            order.action.to_string()
        );
        self.propose(order)
    }

    // -----------------------------------------------------------------------
    // The oldest index

    /// Notes the index in force, and the grace that the document names.
    pub fn learn(&self, index: ConfigIndex, grace: Duration) {
        let mut floor = lock(&self.floor);
        floor.set_grace(grace);
        floor.observe(self.clock.now(), index);
    }

    /// Whether work that was begun under `index` is taken.
    ///
    /// # Errors
    ///
    /// [`quay_types::ErrorKind::ConfigStale`]: nothing ran.
    pub fn check(&self, index: ConfigIndex) -> Result<(), Error> {
        lock(&self.floor).check(self.clock.now(), index)
    }

    // -----------------------------------------------------------------------
    // Group, directory, daemons

    /// Notes what a daemon holds.
    fn note(&self, daemon: &str, index: ConfigIndex) {
        let mut daemons = lock(&self.daemons);
        let known = daemons.contains_key(daemon);
        if daemon.len() <= MAX_NAME_BYTES && (known || daemons.len() < MAX_DAEMONS) {
            daemons.insert(daemon.into(), (index, self.clock.now()));
        }
    }

    /// What was heard of the daemons.
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

    /// The directory as this host knows it.
    fn members(&self) -> Box<[MemberRow]> {
        let lines = self.directory.ask(DirectoryMsg::Members);
        let lines = lines.unwrap_or_default().into_iter();
        lines.map(MemberRow::from).collect()
    }

    /// Proposes an order.
    fn propose(&self, command: ConfigCommand) -> ControlReply {
        let asked = self.group.ask(|reply| GroupMsg::Propose { command, reply });
        match asked {
            Some(Ok(reply)) => ControlReply::Command(reply),
            Some(Err(err)) => of_group_error(err),
            None => ControlReply::Unknown,
        }
    }

    /// Asks the group for state that a quorum has confirmed.
    fn read(&self, query: ConfigQuery) -> Result<ConfigAnswer, GroupError> {
        let asked = self.group.ask(|reply| GroupMsg::Read { query, reply });
        asked.unwrap_or(Err(GroupError::Unavailable))
    }

    /// Answers a query.
    fn answer(&self, query: ConfigQuery) -> ControlReply {
        match self.read(query) {
            Ok(ConfigAnswer::Update(update)) => ControlReply::Update(update),
            Ok(ConfigAnswer::DryRun(reply)) => ControlReply::Command(reply),
            Ok(ConfigAnswer::Image(image)) => ControlReply::Image(image),
            Ok(ConfigAnswer::Audit(records)) => ControlReply::Audit(records),
            Ok(ConfigAnswer::Status(status)) => {
                ControlReply::Status(ControlStatus::new(status, self.daemons()))
            }
            Err(err) => of_group_error(err),
        }
    }
}

/// The reply where the group did not answer.
fn of_group_error(err: GroupError) -> ControlReply {
    match err {
        GroupError::NotLeader(leader) => ControlReply::Redirect(leader),
        GroupError::Unavailable => ControlReply::NoQuorum,
        GroupError::Unknown => ControlReply::Unknown,
    }
}
