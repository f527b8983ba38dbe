//! A store host: answers fronts and other stores, and says how it stands.

use {
    super::{
        copy,
        files::{self, Files},
    },
    crate::{
        gateway::{
            control_client::ControlClient,
            messages::{
                ControlReply, ControlRequest, StoreList, StoreOp, StoreReply, StoreRequest,
            },
            meters,
        },
        process::Clock,
    },
    quay_link::Links,
    quay_turns::{
        CopySource, Record, RecordLocation, StoreAnnouncement, StoreIndex, StoreIndexSettings,
        StoreMember, StoreView, TurnRecord,
    },
    quay_types::{Time, TurnId},
    std::{
        cell::{Cell, RefCell},
        io,
        path::{Path, PathBuf},
        rc::Rc,
        sync::{Arc, mpsc as std_mpsc},
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        sync::oneshot,
        task::{spawn_blocking, spawn_local},
        time::sleep,
    },
};

/// Interval at which the store says how it stands.
const HELLO_EVERY: Duration = Duration::from_millis(300);

/// Longest wait for the leader to hear it.
const HELLO_WITHIN: Duration = Duration::from_secs(1);

/// Interval at which what has expired is dropped.
const EXPIRE_EVERY: Duration = Duration::from_secs(5);

/// Records that go into one sync.
const MAX_BATCH: usize = 256;

/// Turns in one part of a list.
const LIST_TURNS: usize = 1_024;

/// Programs in one part of a list.
const LIST_PROGRAMS: usize = 256;

/// Exit code after a disk that gave no certain answer.
const DISK_EXIT_CODE: i32 = 4;

/// A record for the disk, and who waits for its place.
struct Job {
    record: Record,
    done: oneshot::Sender<Option<(RecordLocation, u64)>>,
}

/// A store host; clones share it.
#[derive(Debug, Clone)]
pub struct StoreHost {
    pub(super) clock: Clock,
    pub(super) links: Links,
    client: ControlClient,
    folder: Arc<Path>,
    hello: Rc<RefCell<StoreAnnouncement>>,
    shelf: Rc<RefCell<StoreIndex>>,
    view: Rc<RefCell<StoreView>>,
    /// File that is written now.
    segment: Rc<Cell<u64>>,
    disk: std_mpsc::Sender<Job>,
    /// Whether a copy is under way.
    pub(super) copying: Rc<Cell<bool>>,
}

impl StoreHost {
    /// Opens the folder of a store. `hello` tells all but its identity.
    ///
    /// # Errors
    ///
    /// If the folder can't be used.
    pub fn open(
        folder: PathBuf,
        segment_bytes: u64,
        mut hello: StoreAnnouncement,
        clock: Clock,
        links: Links,
        client: ControlClient,
    ) -> io::Result<Self> {
        let mut shelf = StoreIndex::new(StoreIndexSettings::default());
        let now = clock.now();
        let mut replay = |record: &Record, place| shelf.insert(now, record, place);
        let (files, identity) = Files::open(&folder, segment_bytes, hello.identity, &mut replay)?;
        hello.identity = identity;
        log::info!(
            "event=store_opened identity={identity} turns={} epoch={} whole={}",
            shelf.turn_count(),
            shelf.epoch(),
            shelf.whole_epoch()
        );
        let segment = files.segment();
        let (disk, jobs) = std_mpsc::channel();
        thread::Builder::new()
            .name("store-disk".into())
            .spawn(move || write_all(files, &jobs))?;
        Ok(Self {
            clock,
            links,
            client,
            folder: folder.into(),
            hello: Rc::new(RefCell::new(hello)),
            shelf: Rc::new(RefCell::new(shelf)),
            view: Rc::default(),
            segment: Rc::new(Cell::new(segment)),
            disk,
            copying: Rc::default(),
        })
    }

    /// Starts the host's tasks.
    pub fn start(&self) {
        spawn_local(self.clone().keep_saying_hello());
        spawn_local(self.clone().keep_expiring());
    }

    /// Identity of the folder.
    pub fn identity(&self) -> u64 {
        self.hello.borrow().identity
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    // -----------------------------------------------------------------------
    // Requests

    /// Answers a request of a front or another store.
    pub async fn serve(&self, req: StoreRequest) -> StoreReply {
        if req.to != self.identity() {
            return StoreReply::Refused;
        }
        let (admitted, seen, open) = {
            let held = self.shelf.borrow();
            (held.admit(req.epoch), held.epoch(), held.open_epoch())
        };
        if let Err(stale) = admitted {
            return StoreReply::Stale(stale.seen);
        }
        let writes = matches!(req.op, StoreOp::Write(_) | StoreOp::Reserve(..));
        if writes && open < req.joined {
            return StoreReply::Refused;
        }
        if req.epoch > seen && !self.save(Record::Epoch(req.epoch)).await {
            return StoreReply::Refused;
        }
        self.carry_out(req.op).await
    }

    async fn carry_out(&self, op: StoreOp) -> StoreReply {
        match op {
            StoreOp::Write(record) => {
                let saved = self.save(record).await;
                if saved {
                    StoreReply::Took
                } else {
                    StoreReply::Refused
                }
            }
            StoreOp::Reserve(program, charge) => {
                if self.save(Record::Charge(program, charge)).await {
                    StoreReply::Charges(self.shelf.borrow().charges(program))
                } else {
                    StoreReply::Refused
                }
            }
            StoreOp::Chain(turn) => self.chain(turn).await,
            StoreOp::Adopt => StoreReply::Took,
            StoreOp::Fetch(turns) => self.fetch(&turns).await,
            StoreOp::List { turns, programs } => self.list(turns, programs),
        }
    }

    /// A turn and all before it.
    async fn chain(&self, turn: TurnId) -> StoreReply {
        let chain = self.shelf.borrow().chain(turn);
        let places = chain.locations.into_iter().map(|(_, place)| place);
        match self.read_turns(places.collect()).await {
            Some(turns) => StoreReply::Chain(turns, chain.missing),
            None => StoreReply::Refused,
        }
    }

    /// The turns of these that are held.
    async fn fetch(&self, turns: &[TurnId]) -> StoreReply {
        let places: Vec<RecordLocation> = {
            let held = self.shelf.borrow();
            turns.iter().filter_map(|id| held.location(*id)).collect()
        };
        match self.read_turns(places).await {
            Some(turns) => StoreReply::Turns(turns),
            None => StoreReply::Refused,
        }
    }

    /// Reads turns from the disk, on a thread that may wait for it.
    async fn read_turns(&self, places: Vec<RecordLocation>) -> Option<Vec<TurnRecord>> {
        if places.is_empty() {
            return Some(Vec::new());
        }
        let folder = Arc::clone(&self.folder);
        let read = spawn_blocking(move || files::read_all(&folder, places)).await;
        let records = match read {
            Ok(Ok(records)) => records,
            Ok(Err(err)) => {
                log::error!("event=store_unread cause={err}");
                return None;
            }
            Err(err) => {
                log::error!("event=store_reader_failed cause={err}");
                return None;
            }
        };
        let turns = records.into_iter().filter_map(|record| match record {
            Record::Turn(turn) => Some(turn),
            _ => None,
        });
        Some(turns.collect())
    }

    /// A part of all that is held.
    fn list(&self, turns: u64, programs: u64) -> StoreReply {
        let held = self.shelf.borrow();
        let listed = held.turns_after(turns, LIST_TURNS);
        let (last_program, charges) = held.charges_after(programs, LIST_PROGRAMS);
        StoreReply::List(Box::new(StoreList {
            last_turn: listed.last().map_or(turns, |(number, _)| *number),
            turns: listed.into_iter().map(|(_, id)| id).collect(),
            charges,
            last_program,
        }))
    }

    /// Whether a turn is held.
    pub(super) fn holds_turn(&self, turn: TurnId) -> bool {
        self.shelf.borrow().location(turn).is_some()
    }

    /// Whether a joining store is whole once it has copied from these sources.
    pub(super) fn copy_is_complete(&self, own: &StoreMember, copied: &[u64]) -> bool {
        self.view.borrow().copy_is_complete(own, copied)
    }

    /// Whether a source of a joining store is whole.
    pub(super) fn source_is_whole(&self, source: &CopySource) -> bool {
        self.view.borrow().source_is_whole(source)
    }

    /// Saves and syncs a record unless it is held; `false` if the disk refuses.
    pub(super) async fn save(&self, record: Record) -> bool {
        if self.shelf.borrow().holds(&record) {
            return true;
        }
        let (done, saved) = oneshot::channel();
        let job = Job {
            record: record.clone(),
            done,
        };
        if self.disk.send(job).is_err() {
            return false;
        }
        let Ok(Some((place, segment))) = saved.await else {
            return false;
        };
        self.segment.set(segment);
        let now = self.now();
        self.shelf.borrow_mut().insert(now, &record, place);
        true
    }

    // -----------------------------------------------------------------------
    // Tasks

    /// Says how the store stands, again and again.
    async fn keep_saying_hello(self) {
        loop {
            let hello = StoreAnnouncement {
                whole: self.shelf.borrow().whole_epoch(),
                ..self.hello.borrow().clone()
            };
            let reply = self
                .client
                .ask(ControlRequest::Hello(hello), HELLO_WITHIN)
                .await;
            if let Some(ControlReply::Stores(view)) = reply {
                self.take_view(view).await;
            }
            sleep(HELLO_EVERY).await;
        }
    }

    /// Takes the view in force, and what it asks of this store.
    async fn take_view(&self, view: StoreView) {
        if view.version < self.view.borrow().version {
            return;
        }
        let own = view.member(self.identity()).cloned();
        self.view.replace(view);
        if let Some(own) = own {
            self.take_membership(&own).await;
        }
    }

    /// Opens a store that has become a member.
    async fn take_membership(&self, own: &StoreMember) {
        let (open, whole) = {
            let held = self.shelf.borrow();
            (held.open_epoch(), held.whole_epoch())
        };
        if own.whole {
            if open < own.joined {
                self.save(Record::Open(own.joined)).await;
            }
            if whole < own.joined {
                self.save(Record::Whole(own.joined)).await;
            }
        } else if whole < own.joined && !self.copying.replace(true) {
            spawn_local(copy::join(self.clone(), own.clone()));
        }
    }

    /// Epoch in which the store opened last.
    pub(super) fn opened(&self) -> u64 {
        self.shelf.borrow().open_epoch()
    }

    /// Whether the store still is the member that joined in an epoch.
    pub(super) fn joined_in(&self, epoch: u64) -> bool {
        let view = self.view.borrow();
        view.member(self.identity())
            .is_some_and(|own| own.joined == epoch)
    }

    /// Where the sources of a joining store are now.
    pub(super) fn sources(&self, own: &StoreMember) -> Vec<CopySource> {
        self.view.borrow().sources_of(own).to_vec()
    }

    /// Epoch of the view in force.
    pub(super) fn epoch(&self) -> u64 {
        self.view.borrow().epoch
    }

    /// Drops what has expired, again and again.
    async fn keep_expiring(self) {
        loop {
            sleep(EXPIRE_EVERY).await;
            let now = self.now();
            {
                let held = self.shelf.borrow();
                meters::store(held.turn_count(), held.whole_epoch() > 0);
            }
            let empty = self.shelf.borrow_mut().expire(now, self.segment.get());
            for segment in empty {
                match files::remove(&self.folder, segment) {
                    Ok(()) => log::info!("event=store_file_removed segment={segment}"),
                    Err(err) => {
                        log::warn!("event=store_file_kept segment={segment} cause={err}");
                    }
                }
            }
        }
    }
}

/// Writes records until the host stops; one sync serves all that wait.
fn write_all(mut files: Files, jobs: &std_mpsc::Receiver<Job>) {
    let mut refused = false;
    while let Ok(first) = jobs.recv() {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH
            && let Ok(job) = jobs.try_recv()
        {
            batch.push(job);
        }
        let (records, waiting): (Vec<_>, Vec<_>) =
            batch.into_iter().map(|job| (job.record, job.done)).unzip();
        let began = Instant::now();
        match files.append(&records) {
            Ok(places) => {
                if std::mem::take(&mut refused) {
                    log::info!("event=store_disk_regained");
                }
                meters::synced(records.len(), began.elapsed());
                for (place, done) in places.into_iter().zip(waiting) {
                    let _ = done.send(Some((place, files.segment())));
                }
            }
            Err(err) if err.kind() == io::ErrorKind::StorageFull => {
                if !std::mem::replace(&mut refused, true) {
                    log::error!("event=store_disk_full records={}", records.len());
                }
                for done in waiting {
                    let _ = done.send(None);
                }
            }
            Err(err) => {
                // After a failed sync nobody knows what the disk holds.
                log::error!("event=store_disk_failed cause={err}");
                log::logger().flush();
                std::process::exit(DISK_EXIT_CODE);
            }
        }
    }
}
