//! Store host: serves requests of fronts and other stores, and announces itself
//! to the control leader.

use {
    super::{
        copy,
        files::{self, Files},
        repair,
        stream_origins::StreamOrigins,
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
    quay_link::{FrameMemory, FramePermit, Links},
    quay_log::IsDiskFull as _,
    quay_turns::{
        ChainPart, Record, RecordLocation, StoreAnnouncement, StoreIndex, StoreIndexSettings,
        StoreIndexes, StoreMap, StoreMember, StoreView, TurnRecord,
    },
    quay_types::{GroupId, Time, TurnId},
    std::{
        cell::{Cell, Ref, RefCell},
        collections::HashSet,
        io,
        path::{Path, PathBuf},
        rc::Rc,
        sync::{Arc, mpsc as std_mpsc},
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, Semaphore, oneshot},
        task::{spawn_blocking, spawn_local},
        time::{sleep, timeout},
    },
};

/// Interval between announcements to the control leader.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Time-out of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between removals of expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of records in one disk sync.
const MAX_BATCH_RECORDS: usize = 256;

/// Size of the records in one disk sync from which no further one is added, in bytes.
const MAX_BATCH_BYTES: usize = 2 << 20;

/// Maximum number of turns in one list reply.
const MAX_LIST_TURNS: usize = 1_024;

/// Maximum size of the turns in the reply to [`StoreOp::FetchSome`], in bytes, unless one
/// turn alone is larger. The store holds several copies of a reply while it sends it.
const MAX_FETCH_BYTES: u64 = 2 << 20;

/// Maximum size of the turns in the replies to [`StoreOp::Chain`] and [`StoreOp::Fetch`],
/// which hosts of earlier versions send, in bytes; less than a frame of a link.
const MAX_REPLY_BYTES: u64 = 31 << 20;

/// Maximum number of programs in one list reply.
const MAX_LIST_PROGRAMS: usize = 256;

/// Exit code after a disk error that leaves the file contents unknown.
const DISK_EXIT_CODE: i32 = 4;

/// Request to the disk thread to write a record.
struct WriteJob {
    group: GroupId,
    record: Record,
    /// Receives the record with its location and the number of the current
    /// segment; `None` if the disk is full.
    reply_to: oneshot::Sender<Option<(Record, RecordLocation, u64)>>,
}

/// A store host. Clones share its state.
#[derive(Debug, Clone)]
pub struct StoreHost {
    pub(super) clock: Clock,
    pub(super) links: Links,
    client: ControlClient,
    folder: Arc<Path>,
    announcement: Rc<RefCell<StoreAnnouncement>>,
    index: Rc<RefCell<StoreIndexes>>,
    origins: Rc<RefCell<StreamOrigins>>,
    map: Rc<RefCell<StoreMap>>,
    /// Number of the segment that records are appended to.
    segment: Rc<Cell<u64>>,
    disk: std_mpsc::Sender<WriteJob>,
    /// Groups in which a join is in progress.
    pub(super) copying: Rc<RefCell<HashSet<GroupId>>>,
    /// Notified when a turn was written whose predecessors are not all held.
    pub(super) turns_missing: Rc<Notify>,
    /// Notified when the store has something new to announce.
    pub(super) announce: Rc<Notify>,
    /// Permits for requests for turns, which bound what a copy holds in memory.
    pub(super) fetches: Rc<Semaphore>,
    /// Memory for requests that are served and turns that are read, if it is limited.
    memory: Option<FrameMemory>,
}

impl StoreHost {
    /// Opens the folder of a store. The identity in `announcement` is used only
    /// for a new folder.
    ///
    /// # Errors
    ///
    /// If the folder can't be read or written.
    pub fn open(
        folder: PathBuf,
        segment_bytes: u64,
        mut announcement: StoreAnnouncement,
        clock: Clock,
        links: Links,
        client: ControlClient,
    ) -> io::Result<Self> {
        let mut index = StoreIndexes::new(StoreIndexSettings::default());
        let now = clock.now();
        let mut replay =
            |group, record: &Record, location| index.insert(now, group, record, location);
        let (files, identity) =
            Files::open(&folder, segment_bytes, announcement.identity, &mut replay)?;
        announcement.identity = identity;
        log::info!(
            "event=store_opened identity={identity} turns={} whole={:?}",
            index.turn_count(),
            index.whole_epochs()
        );
        let segment = files.segment();
        let (disk, jobs) = std_mpsc::channel();
        thread::Builder::new()
            .name("store-disk".into())
            .spawn(move || run_disk_thread(files, &jobs))?;
        Ok(Self {
            clock,
            links,
            client,
            folder: folder.into(),
            announcement: Rc::new(RefCell::new(announcement)),
            index: Rc::new(RefCell::new(index)),
            origins: Rc::default(),
            map: Rc::default(),
            segment: Rc::new(Cell::new(segment)),
            disk,
            copying: Rc::default(),
            turns_missing: Rc::default(),
            announce: Rc::default(),
            fetches: Rc::new(Semaphore::new(copy::MAX_FETCHES)),
            memory: None,
        })
    }

    /// Has the host read turns only as far as there is room in `memory`.
    #[must_use]
    pub fn with_memory(self, memory: Option<FrameMemory>) -> Self {
        Self { memory, ..self }
    }

    /// Starts the host's tasks.
    pub fn start(&self) {
        spawn_local(self.clone().announce_periodically());
        spawn_local(self.client.clone().refresh_hosts_periodically());
        spawn_local(self.clone().expire_periodically());
        spawn_local(repair::run(self.clone()));
    }

    /// Identity of the folder.
    pub fn identity(&self) -> u64 {
        self.announcement.borrow().identity
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    // -----------------------------------------------------------------------
    // Requests

    /// Answers a request of a front or another store. Refuses writes until the
    /// store has opened for the epoch in which it joined.
    pub async fn serve(&self, req: StoreRequest) -> StoreReply {
        if req.to != self.identity() {
            return StoreReply::Refused;
        }
        // Origins never change, so that no view of the group is out of date.
        if let Some(reply) = self.serve_origins(&req.op) {
            return reply;
        }
        let (admitted, seen, open) = {
            let held = self.group(req.group);
            (held.admit(req.epoch), held.epoch(), held.open_epoch())
        };
        if let Err(stale) = admitted {
            return StoreReply::Stale(stale.seen);
        }
        let writes = matches!(
            req.op,
            StoreOp::Write(_) | StoreOp::Reserve(..) | StoreOp::ReserveScoped(..)
        );
        if writes && open < req.joined {
            return StoreReply::Refused;
        }
        if req.epoch > seen && !self.save(req.group, Record::Epoch(req.epoch)).await {
            return StoreReply::Refused;
        }
        self.execute(req.group, req.joined, req.op).await
    }

    /// Answers a request for the origin of a stream; `None` for other requests.
    fn serve_origins(&self, op: &StoreOp) -> Option<StoreReply> {
        let now = self.now();
        let mut origins = self.origins.borrow_mut();
        match op {
            StoreOp::RecordStream(attempt, origin, keep_s, content) => {
                let keep = Duration::from_secs((*keep_s).into());
                if let Some(content) = content {
                    origins.insert_content(now, *content, *origin, keep);
                }
                let held = origins.insert(now, *attempt, *origin, keep);
                Some(StoreReply::Stream(Some(held)))
            }
            StoreOp::FindStream(attempt) => Some(StoreReply::Stream(origins.get(now, *attempt))),
            StoreOp::FindContent(content) => Some(StoreReply::Streams(
                origins.of_content(now, *content).into(),
            )),
            _ => None,
        }
    }

    async fn execute(&self, group: GroupId, joined: u64, op: StoreOp) -> StoreReply {
        match op {
            StoreOp::Write(records) => {
                if self.save_all(group, records).await {
                    StoreReply::Synced
                } else {
                    StoreReply::Refused
                }
            }
            StoreOp::Reserve(program, charge) => {
                if !self.save(group, Record::Charge(program, charge)).await {
                    return StoreReply::Refused;
                }
                let charges = self.group(group).charges(program);
                if self.joins_with_all_charges(group, joined) {
                    StoreReply::AllCharges(charges)
                } else {
                    StoreReply::Charges(charges)
                }
            }
            StoreOp::ReserveScoped(programs, charge) => {
                let records = programs.recorded().map(|it| Record::Charge(it, charge));
                if !self.save_all(group, records.collect()).await {
                    return StoreReply::Refused;
                }
                let counted = programs.counted();
                // The program runs on, so none of its charges may expire.
                let now = self.now();
                self.index.borrow_mut().keep_charges(now, group, &counted);
                let held = self.group(group);
                let of = |program| {
                    held.charges(program)
                        .into_iter()
                        .map(move |it| (program, it))
                };
                let charges = counted.into_iter().flat_map(of).collect();
                StoreReply::ScopedCharges(charges, self.joins_with_all_charges(group, joined))
            }
            StoreOp::Chain(turn) => self.chain(group, turn).await,
            StoreOp::ListChain(turn) => self.list_chain(group, turn).await,
            StoreOp::FenceEpoch => StoreReply::Synced,
            StoreOp::Fetch(turns) => self.fetch(group, &turns, MAX_REPLY_BYTES).await,
            StoreOp::FetchSome(turns) => self.fetch(group, &turns, MAX_FETCH_BYTES).await,
            StoreOp::List { turns, programs } => self.list(group, turns, programs),
            StoreOp::ListTurns(after) => {
                let (last, turns) = self.group(group).list_turns(after, MAX_LIST_TURNS);
                StoreReply::TurnList(turns, last)
            }
            StoreOp::RecordStream(..) | StoreOp::FindStream(_) | StoreOp::FindContent(_) => {
                StoreReply::Refused
            }
        }
    }

    /// Whether the store is joining a group and holds all charges that were acknowledged
    /// before. The senders of requests know of whole stores that they do.
    fn joins_with_all_charges(&self, group: GroupId, joined: u64) -> bool {
        let held = self.group(group);
        held.whole_epoch() < joined && held.holds_charges_since(joined)
    }

    /// Returns a turn and its predecessors, as far as they are held.
    async fn chain(&self, group: GroupId, turn: TurnId) -> StoreReply {
        let chain = self.group(group).chain(turn);
        let locations = chain.locations.into_iter().map(|(_, location)| location);
        let bytes: u64 = locations.clone().map(|it| u64::from(it.len)).sum();
        if bytes > MAX_REPLY_BYTES {
            log::warn!("event=store_chain_too_large group={group} turn={turn} bytes={bytes}");
            return StoreReply::Refused;
        }
        match self.read_turns(locations.collect()).await {
            Some(turns) => StoreReply::Chain(turns, chain.missing),
            None => StoreReply::Refused,
        }
    }

    /// Lists a turn and its predecessors, and returns the oldest of them that fit into a page.
    async fn list_chain(&self, group: GroupId, turn: TurnId) -> StoreReply {
        let (part, locations) = self.chain_page(group, turn);
        match self.read_turns(locations).await {
            Some(turns) => StoreReply::ChainPart(part, turns),
            None => StoreReply::Refused,
        }
    }

    /// Returns those of `turns` that are held, from the first one on, up to `max_bytes`
    /// but at least one.
    async fn fetch(&self, group: GroupId, turns: &[TurnId], max_bytes: u64) -> StoreReply {
        let locations = self.turn_page(group, turns, max_bytes);
        match self.read_turns(locations).await {
            Some(turns) => StoreReply::Turns(turns),
            None => StoreReply::Refused,
        }
    }

    /// Those of `turns` that are held, from the first one on, up to `max_bytes` but at least
    /// one.
    fn turn_page(&self, group: GroupId, turns: &[TurnId], max_bytes: u64) -> Vec<RecordLocation> {
        let held = self.group(group);
        let mut bytes = 0;
        let held = turns.iter().filter_map(|id| held.location(*id));
        held.take_while(|location| {
            let first = bytes == 0;
            bytes += u64::from(location.len);
            first || bytes <= max_bytes
        })
        .collect()
    }

    /// Part of a chain, and its oldest turns that fit into a page.
    fn chain_page(&self, group: GroupId, turn: TurnId) -> (ChainPart, Vec<RecordLocation>) {
        let held = self.group(group);
        let part = held.chain_part(turn, MAX_LIST_TURNS);
        let oldest = part.links.iter().rev();
        let mut bytes = 0;
        let locations = oldest.map_while(|link| {
            bytes += link.bytes;
            let fits = bytes <= MAX_FETCH_BYTES;
            fits.then(|| held.location(link.id)).flatten()
        });
        let locations = locations.collect();
        (part, locations)
    }

    /// Reserves memory for the turns in the reply to a request, which are held twice: as they
    /// are read and decoded, and then as they are encoded. `None` without a limit.
    pub async fn reserve_reply(&self, req: &StoreRequest) -> Option<FramePermit> {
        let memory = self.memory.as_ref()?;
        let locations = match &req.op {
            StoreOp::Chain(turn) | StoreOp::ListChain(turn) => self.chain_page(req.group, *turn).1,
            StoreOp::FetchSome(turns) => self.turn_page(req.group, turns, MAX_FETCH_BYTES),
            StoreOp::Fetch(turns) => self.turn_page(req.group, turns, MAX_REPLY_BYTES),
            _ => return None,
        };
        let bytes = locations.iter().map(|it| 2 * it.len as usize).sum();
        memory.reserve(bytes).await
    }

    /// Reads turns from the disk on a blocking thread.
    async fn read_turns(&self, locations: Vec<RecordLocation>) -> Option<Vec<TurnRecord>> {
        if locations.is_empty() {
            return Some(Vec::new());
        }
        let folder = Arc::clone(&self.folder);
        let read = spawn_blocking(move || files::read_all(&folder, locations)).await;
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

    /// Lists the turns and charges after the given numbers, up to the limits of
    /// one reply.
    fn list(&self, group: GroupId, turns: u64, programs: u64) -> StoreReply {
        let held = self.group(group);
        let listed = held.turns_after(turns, MAX_LIST_TURNS);
        let (last_program, charges) = held.charges_after(programs, MAX_LIST_PROGRAMS);
        StoreReply::List(Box::new(StoreList {
            last_turn: listed.last().map_or(turns, |(number, _)| *number),
            turns: listed.into_iter().map(|(_, id)| id).collect(),
            charges,
            last_program,
        }))
    }

    /// Index of a group's records.
    pub(super) fn group(&self, group: GroupId) -> Ref<'_, StoreIndex> {
        Ref::map(self.index.borrow(), |indexes| indexes.group(group))
    }

    /// Groups of which the store lacks turns that others continue from.
    pub(super) fn groups_with_missing_turns(&self) -> Vec<GroupId> {
        self.index.borrow().groups_with_missing_turns()
    }

    /// Current view of a group; empty if there is none.
    pub(super) fn view(&self, group: GroupId) -> StoreView {
        self.map.borrow().group(group).cloned().unwrap_or_default()
    }

    /// Writes and syncs records of a group, so that one sync covers them. Returns
    /// `false` if one of them could not be written.
    pub(super) async fn save_all(&self, group: GroupId, records: Vec<Record>) -> bool {
        let records = match <[Record; 1]>::try_from(records) {
            Ok([record]) => return self.save(group, record).await,
            Err(records) => records,
        };
        let saves: Vec<_> = records
            .into_iter()
            .map(|record| {
                let host = self.clone();
                spawn_local(async move { host.save(group, record).await })
            })
            .collect();
        let mut all = true;
        for save in saves {
            all &= save.await.unwrap_or(false);
        }
        all
    }

    /// Writes and syncs a record of a group unless it is held already. Returns `false` if
    /// the record could not be written.
    pub(super) async fn save(&self, group: GroupId, record: Record) -> bool {
        if self.group(group).holds(&record) {
            return true;
        }
        let (reply_to, saved) = oneshot::channel();
        let job = WriteJob {
            group,
            record,
            reply_to,
        };
        if self.disk.send(job).is_err() {
            return false;
        }
        let Ok(Some((record, location, segment))) = saved.await else {
            return false;
        };
        self.segment.set(segment);
        let now = self.now();
        let mut index = self.index.borrow_mut();
        index.insert(now, group, &record, location);
        if index.group(group).missing_turns().len() > 0 {
            self.turns_missing.notify_one();
        }
        true
    }

    // -----------------------------------------------------------------------
    // Tasks

    /// Announces the store to the control leader periodically, and applies the
    /// store map that the leader returns.
    async fn announce_periodically(self) {
        loop {
            let announcement = StoreAnnouncement {
                whole: self.index.borrow().whole_epochs(),
                ..self.announcement.borrow().clone()
            };
            let known = self.map.borrow().version;
            let reply = self
                .client
                .request(
                    ControlRequest::AnnounceStore(announcement, known),
                    ANNOUNCE_TIMEOUT,
                )
                .await;
            if let Some(ControlReply::Stores(Some(map))) = reply
                && map.version >= self.map.borrow().version
            {
                self.map.replace(map);
            }
            self.apply_memberships().await;
            let _ = timeout(ANNOUNCE_INTERVAL, self.announce.notified()).await;
        }
    }

    /// Opens each group for writes in which the store is a whole member, and
    /// starts to copy each one in which it is not.
    async fn apply_memberships(&self) {
        let identity = self.identity();
        let own: Vec<(GroupId, StoreMember)> = {
            let map = self.map.borrow();
            let groups = map.iter();
            let own =
                groups.filter_map(|(group, view)| Some((group, view.member(identity)?.clone())));
            own.collect()
        };
        for (group, own) in own {
            self.apply_membership(group, own).await;
        }
    }

    async fn apply_membership(&self, group: GroupId, own: StoreMember) {
        let (open, whole) = {
            let held = self.group(group);
            (held.open_epoch(), held.whole_epoch())
        };
        if own.whole {
            if open < own.joined {
                self.save(group, Record::Open(own.joined)).await;
            }
            if whole < own.joined {
                self.save(group, Record::Whole(own.joined)).await;
            }
        } else if whole < own.joined && self.copying.borrow_mut().insert(group) {
            spawn_local(copy::join(self.clone(), group, own));
        }
    }

    /// Removes expired records and empty segments periodically.
    async fn expire_periodically(self) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            let now = self.now();
            self.origins.borrow_mut().expire(now);
            meters::set_stream_origins(self.origins.borrow().len());
            {
                let held = self.index.borrow();
                let (turns, missing) = (held.turn_count(), held.missing_count());
                meters::set_store(turns, missing, !held.whole_epochs().is_empty());
            }
            let empty = self.index.borrow_mut().expire(now, self.segment.get());
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

/// Disk thread: writes records until the host is dropped. One sync covers all
/// records that are queued.
fn run_disk_thread(mut files: Files, jobs: &std_mpsc::Receiver<WriteJob>) {
    let mut disk_full = false;
    while let Ok(first) = jobs.recv() {
        let mut bytes = first.record.data_bytes();
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_RECORDS
            && bytes < MAX_BATCH_BYTES
            && let Ok(job) = jobs.try_recv()
        {
            bytes += job.record.data_bytes();
            batch.push(job);
        }
        let (records, waiters): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|job| ((job.group, job.record), job.reply_to))
            .unzip();
        let began = Instant::now();
        match files.append(&records) {
            Ok(locations) => {
                if std::mem::take(&mut disk_full) {
                    log::info!("event=store_disk_regained");
                }
                meters::record_sync(records.len(), began.elapsed());
                let records = records.into_iter().map(|(_, record)| record);
                for ((record, location), reply_to) in records.zip(locations).zip(waiters) {
                    let _ = reply_to.send(Some((record, location, files.segment())));
                }
            }
            Err(err) if err.is_disk_full() => {
                if !std::mem::replace(&mut disk_full, true) {
                    log::error!("event=store_disk_full records={}", records.len());
                }
                for reply_to in waiters {
                    let _ = reply_to.send(None);
                }
            }
            Err(err) => {
                // After a failed sync the contents of the disk are unknown, so
                // the process ends instead of serving requests.
                log::error!("event=store_disk_failed cause={err}");
                log::logger().flush();
                std::process::exit(DISK_EXIT_CODE);
            }
        }
    }
}
