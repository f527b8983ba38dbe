//! Client with which a front reads and writes turns and charges on the stores.

use {
    super::{
        encoded_op::{EncodedOp, StoreTarget},
        group_request::{GroupRequest, SlowMembers},
        path::{PathProbe, StorePath},
    },
    crate::{
        gateway::{
            control_client::exchange_encoded,
            messages::{StoreOp, StoreReply, StoreRequest},
            meters,
        },
        process::Clock,
    },
    bytes::Bytes,
    futures_util::future::join_all,
    quay_link::{LinkError, LinkRole, Links},
    quay_policy::{OriginLookup, RecordedOrigin, StreamOrigin},
    quay_turns::{
        Charge, ChargeTally, ChargeVerdict, Record, StoreMap, StoreMember, StoreView, TurnRecord,
        WriteTally, WriteVerdict,
    },
    quay_types::{AttemptTag, ContentDigest, GroupId, ProgramTag, ScopedId, Tokens, TurnId},
    std::{cell::RefCell, collections::HashSet, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        select,
        sync::mpsc,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Time-out of a request to one store.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);

/// Time-out of a request to one store while a path is probed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between checks whether a path probe is due.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// First back-off after an operation that too few stores answered. It doubles
/// with each retry, so that overloaded stores do not receive more requests.
const FIRST_BACKOFF: Duration = Duration::from_millis(60);

/// Upper limit of the back-off.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Outcome of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The reservation is durable and the budget covers it.
    Covered {
        /// Tokens charged to other attempts.
        others: Tokens,
    },
    /// The budget does not cover the reservation.
    Spent {
        /// Tokens charged to other attempts.
        others: Tokens,
    },
    /// Too few stores answered to decide.
    Undetermined,
}

/// Client of the stores in the current map. Clones share the map and the path to
/// the stores.
#[derive(Debug, Clone)]
pub struct StoreClient {
    links: Links,
    data_centre: Rc<str>,
    clock: Clock,
    store_path: Rc<RefCell<StorePath>>,
    map: Rc<RefCell<Rc<StoreMap>>>,
    /// The views of `map` by group, so that operations can share them.
    views: Rc<RefCell<Vec<Rc<StoreView>>>>,
    /// Members that were late lately.
    slow: Rc<RefCell<SlowMembers>>,
}

impl StoreClient {
    /// Creates a client in a data centre, with an empty map.
    pub fn new(links: Links, data_centre: &str, clock: Clock) -> Self {
        Self {
            links,
            data_centre: data_centre.into(),
            clock,
            store_path: Rc::default(),
            map: Rc::default(),
            views: Rc::default(),
            slow: Rc::default(),
        }
    }

    /// Replaces the map, unless `map` is older than the current one.
    pub fn set_map(&self, map: StoreMap) {
        if map.version >= self.map.borrow().version {
            log::info!(
                "event=stores_map version={} groups={} joining={}",
                map.version,
                map.groups.len(),
                map.joining()
            );
            *self.views.borrow_mut() = map.groups.iter().cloned().map(Rc::new).collect();
            *self.map.borrow_mut() = Rc::new(map);
        }
    }

    /// Sets the other fronts that can relay requests to the stores.
    pub fn set_peer_fronts(&self, fronts: Vec<SocketAddr>) {
        self.store_path.borrow_mut().set_peers(fronts);
    }

    /// Version of the current map.
    pub fn map_version(&self) -> u64 {
        self.map.borrow().version
    }

    pub(super) fn map(&self) -> Rc<StoreMap> {
        Rc::clone(&self.map.borrow())
    }

    /// Group of a program; the first one before the groups are known.
    pub fn group_of(&self, program: ProgramTag) -> GroupId {
        self.map.borrow().group_of(program).unwrap_or_default()
    }

    /// Current view of a group; empty if it is unknown.
    pub(super) fn view(&self, group: GroupId) -> Rc<StoreView> {
        let views = self.views.borrow();
        views.get(usize::from(group.0)).cloned().unwrap_or_default()
    }

    /// The members of a group in the order in which they are asked for a program.
    pub(super) fn member_order(&self, view: &StoreView, program: ProgramTag) -> Vec<usize> {
        let now = self.clock.now();
        self.slow.borrow_mut().order(now, view, program)
    }

    /// Records that members did not answer in time.
    pub(super) fn record_slow(&self, members: &[u64]) {
        let now = self.clock.now();
        for member in members {
            self.slow.borrow_mut().record(now, *member);
        }
    }

    /// Sends an operation to a member of a group. `tx` gets the identity of the
    /// member and its reply; `None` on failure. Once nobody waits for the reply, the
    /// request is given up: a copy beyond the quorum is not worth the caller's memory.
    pub(super) fn ask_member(
        &self,
        addr: SocketAddr,
        target: StoreTarget,
        op: EncodedOp,
        tx: mpsc::UnboundedSender<(u64, Option<StoreReply>)>,
    ) {
        let client = self.clone();
        let identity = target.identity;
        spawn_local(async move {
            let reply = select! {
                reply = client.ask_store(addr, target, op) => reply,
                () = tx.closed() => return,
            };
            if let Err(err) = &reply {
                log::debug!("event=store_unreached store={identity} cause={err:?}");
            }
            let _ = tx.send((identity, reply.ok()));
        });
    }

    // -----------------------------------------------------------------------
    // Path to the stores

    /// Sends a request to one store, directly or through a relay.
    pub(super) async fn ask_store(
        &self,
        addr: SocketAddr,
        target: StoreTarget,
        op: EncodedOp,
    ) -> Result<StoreReply, LinkError> {
        let relay = {
            let mut store_path = self.store_path.borrow_mut();
            store_path.record_request(self.clock.now());
            store_path.relay()
        };
        let reply = self
            .ask_through(relay, addr, (target, op), STORE_TIMEOUT)
            .await;
        if reply.is_ok() {
            self.store_path.borrow_mut().record_reply();
        }
        reply
    }

    async fn ask_through(
        &self,
        relay: Option<SocketAddr>,
        addr: SocketAddr,
        (target, op): (StoreTarget, EncodedOp),
        within: Duration,
    ) -> Result<StoreReply, LinkError> {
        let req = op.request(target, relay.map(|_| addr))?;
        // Only the request, whose bytes are released as the peer takes them, is held on.
        drop(op);
        let Some(front) = relay else {
            let store = (addr, LinkRole::Ledger);
            return exchange_encoded(&self.links, store, req, within).await;
        };
        let front = (front, LinkRole::Entry);
        let reply: Option<StoreReply> = exchange_encoded(&self.links, front, req, within).await?;
        reply.ok_or(LinkError::Silent)
    }

    /// Forwards another front's request to a store. Returns `None` if no member
    /// of the map has this address or the store did not answer.
    pub async fn forward(&self, addr: SocketAddr, req: StoreRequest) -> Option<StoreReply> {
        if !self.map().has_member_at(addr) {
            return None;
        }
        let target = StoreTarget {
            identity: req.to,
            group: req.group,
            epoch: req.epoch,
            joined: req.joined,
        };
        let op = encode(&req.op)?;
        drop(req);
        let reply = self
            .ask_through(None, addr, (target, op), STORE_TIMEOUT)
            .await;
        if let Err(err) = &reply {
            log::debug!("event=store_unreached_for_another addr={addr} cause={err:?}");
        }
        reply.ok()
    }

    /// Probes paths to the stores when a probe is due, until the task is dropped.
    pub async fn probe_paths(self) {
        loop {
            sleep(PROBE_CHECK_INTERVAL).await;
            let probe = self.store_path.borrow_mut().next_probe(self.clock.now());
            if let Some(probe) = probe {
                self.probe_path(probe).await;
            }
        }
    }

    /// Probes a path: any reply of any store shows that the path works.
    async fn probe_path(&self, probe: PathProbe) {
        let through = match probe {
            PathProbe::Relay(front) => Some(front),
            PathProbe::Direct => None,
        };
        let group = GroupId::default();
        let view = self.view(group);
        let Some(op) = encode(&StoreOp::Chain(TurnId(0))) else {
            return;
        };
        for member in &view.members {
            let req = (target(group, &view, member), op.clone());
            let reply = self
                .ask_through(through, member.addr, req, PROBE_TIMEOUT)
                .await;
            match reply {
                Ok(_) => {
                    if self.store_path.borrow_mut().record_success(probe) {
                        log::warn!("event=stores_way through={through:?}");
                    }
                    return;
                }
                Err(err) => log::debug!(
                    "event=stores_way_tried through={through:?} store={} cause={err:?}",
                    member.identity
                ),
            }
        }
    }

    // -----------------------------------------------------------------------
    // Writes

    /// Writes records of a program, with retries until they are durable. Returns
    /// `false` if they are not durable within `limit`.
    pub async fn write(&self, program: ProgramTag, records: Vec<Record>, limit: Duration) -> bool {
        let op = encode(&StoreOp::Write(records));
        self.write_until(program, op, limit).await
    }

    /// Writes a turn, whose input is in the pieces `input` and not in `turn`, and other
    /// records of its program, as [`write`](Self::write) does. No byte of the turn is
    /// copied.
    pub async fn write_turn(
        &self,
        program: ProgramTag,
        (turn, input): (&TurnRecord, &[Bytes]),
        others: &[Record],
        limit: Duration,
    ) -> bool {
        let op = logged(EncodedOp::write_turn(turn, input, others));
        self.write_until(program, op, limit).await
    }

    /// Repeats an operation until a write quorum of a program's group has executed it.
    /// Returns `false` if that takes longer than `limit`.
    async fn write_until(
        &self,
        program: ProgramTag,
        op: Option<EncodedOp>,
        limit: Duration,
    ) -> bool {
        let Some(op) = op else { return false };
        let attempts = async {
            let mut backoff = Backoff::default();
            while !self.write_once(program, &op).await {
                backoff.wait().await;
            }
        };
        timeout(limit, attempts).await.is_ok()
    }

    pub(super) async fn write_once(&self, program: ProgramTag, op: &EncodedOp) -> bool {
        let group = self.group_of(program);
        let view = self.view(group);
        let mut tally = WriteTally::new(&view);
        let mut replies = GroupRequest::with_quorum(self, (group, program), &view, op.clone());
        while tally.verdict() == WriteVerdict::Pending {
            match replies.next().await {
                Some((identity, Some(StoreReply::Synced | StoreReply::Stream(Some(_))))) => {
                    tally.synced(identity);
                }
                Some((identity, _)) => tally.failed(identity),
                None => return false,
            }
        }
        tally.verdict() == WriteVerdict::Durable
    }

    /// Reserves tokens of a program's budget at the stores of `placement`, with retries
    /// within `limit`. Charges count that the caller made under another account or none.
    pub async fn reserve(
        &self,
        (placement, programs): (ProgramTag, ScopedId<ProgramTag>),
        own: Charge,
        budget: Tokens,
        limit: Duration,
    ) -> ReserveOutcome {
        let attempts = async {
            let mut backoff = Backoff::default();
            loop {
                match self.reserve_once((placement, programs), own, budget).await {
                    ReserveOutcome::Undetermined => backoff.wait().await,
                    reserved => return reserved,
                }
            }
        };
        timeout(limit, attempts)
            .await
            .unwrap_or(ReserveOutcome::Undetermined)
    }

    async fn reserve_once(
        &self,
        (placement, programs): (ProgramTag, ScopedId<ProgramTag>),
        own: Charge,
        budget: Tokens,
    ) -> ReserveOutcome {
        let group = self.group_of(placement);
        let view = self.view(group);
        let mut tally = ChargeTally::new(&view, own, budget);
        let Some(op) = encode(&StoreOp::ReserveScoped(programs, own)) else {
            return ReserveOutcome::Undetermined;
        };
        let mut replies = GroupRequest::with_quorum(self, (group, placement), &view, op);
        // Attempts that the caller made in another scope.
        let mut elsewhere = HashSet::new();
        loop {
            match tally.verdict() {
                ChargeVerdict::Covered { others } => {
                    let lacking = tally.lacking().into_iter().map(|(identity, charges)| {
                        let records = charges.into_iter().flat_map(|charge| {
                            let other = elsewhere.contains(&charge.attempt);
                            charge_records(programs, charge, other)
                        });
                        (identity, records.collect())
                    });
                    let complete = self.complete_charges(group, &view, lacking.collect());
                    return if complete.await {
                        ReserveOutcome::Covered { others }
                    } else {
                        ReserveOutcome::Undetermined
                    };
                }
                ChargeVerdict::Spent { others } => return ReserveOutcome::Spent { others },
                ChargeVerdict::Undetermined => return ReserveOutcome::Undetermined,
                ChargeVerdict::Pending => {}
            }
            match replies.next().await {
                Some((identity, Some(StoreReply::ScopedCharges(charges, all)))) => {
                    let others = charges.iter().filter(|(it, _)| *it == programs.other);
                    elsewhere.extend(others.map(|(_, charge)| charge.attempt));
                    tally.synced(identity, charges.into_iter().map(|(_, it)| it), all);
                }
                Some((identity, _)) => tally.failed(identity),
                None => return ReserveOutcome::Undetermined,
            }
        }
    }

    /// Writes charges that members lack, by member. Returns `false` if one of them did not
    /// take them.
    async fn complete_charges(
        &self,
        group: GroupId,
        view: &StoreView,
        lacking: Vec<(u64, Vec<Record>)>,
    ) -> bool {
        let writes = lacking.into_iter().map(async |(identity, records)| {
            let member = view.member(identity)?;
            meters::record_completed_charges(records.len());
            let op = encode(&StoreOp::Write(records))?;
            let target = target(group, view, member);
            self.ask_store(member.addr, target, op).await.ok()
        });
        let replies = join_all(writes).await;
        replies.iter().all(|it| *it == Some(StoreReply::Synced))
    }

    // -----------------------------------------------------------------------
    // Streams

    /// Has the stores remember the origin of the stream that an attempt began, for
    /// the given time, also under its content if there is one. Returns `false` if too
    /// few do within `limit`.
    pub async fn record_stream(
        &self,
        program: ProgramTag,
        (attempt, content): (AttemptTag, Option<ContentDigest>),
        (origin, keep): (StreamOrigin, Duration),
        limit: Duration,
    ) -> bool {
        let keep_s = u32::try_from(keep.as_secs().max(1)).unwrap_or(u32::MAX);
        let op = encode(&StoreOp::RecordStream(attempt, origin, keep_s, content));
        self.write_until(program, op, limit).await
    }

    /// Looks up the origin of the stream that an attempt began.
    pub async fn find_stream(
        &self,
        program: ProgramTag,
        attempt: AttemptTag,
        limit: Duration,
    ) -> RecordedOrigin {
        let group = self.group_of(program);
        let view = self.view(group);
        let Some(op) = encode(&StoreOp::FindStream(attempt)) else {
            return RecordedOrigin::Undetermined;
        };
        let mut replies = GroupRequest::with_all(self, (group, program), &view, op);
        let (mut found, mut denials) = (None, 0);
        let lookup = async {
            while let Some((_, reply)) = replies.next().await {
                match reply {
                    Some(StoreReply::Stream(Some(origin))) => {
                        found = Some(origin);
                        if origin.is_version_known() {
                            return;
                        }
                    }
                    Some(StoreReply::Stream(None)) => denials += 1,
                    _ => {}
                }
            }
        };
        // What arrived until then decides.
        let _ = timeout(limit, lookup).await;
        match found {
            Some(origin) => RecordedOrigin::Found(origin),
            None if denials > 0 && denials == view.members.len() => RecordedOrigin::Absent,
            None => RecordedOrigin::Undetermined,
        }
    }

    /// Looks up the origin of the streams of a content, as far as all stores that answer
    /// within `limit` agree.
    pub async fn find_content(
        &self,
        program: ProgramTag,
        content: ContentDigest,
        limit: Duration,
    ) -> RecordedOrigin {
        let group = self.group_of(program);
        let view = self.view(group);
        let Some(op) = encode(&StoreOp::FindContent(content)) else {
            return RecordedOrigin::Undetermined;
        };
        let mut replies = GroupRequest::with_all(self, (group, program), &view, op);
        let mut lookup = OriginLookup::new(view.read_quorum());
        let collect = async {
            while let Some((_, reply)) = replies.next().await {
                if let Some(StoreReply::Streams(origins)) = reply {
                    lookup.add(&origins);
                }
            }
        };
        // What arrived until then decides.
        let _ = timeout(limit, collect).await;
        lookup.result()
    }

    /// A whole member that usually holds every record of a program, in the local
    /// data centre if there is one.
    pub(super) fn likely_holder<'a>(
        &self,
        view: &'a StoreView,
        program: ProgramTag,
    ) -> Option<&'a StoreMember> {
        let order = self.member_order(view, program).into_iter();
        let first = order.take(view.write_quorum()).map(|at| &view.members[at]);
        let whole: Vec<&StoreMember> = first.filter(|it| it.whole).collect();
        let local = whole.iter().find(|it| *it.data_centre == *self.data_centre);
        local.or(whole.first()).copied()
    }
}

/// Records of a charge, which was made in the scope of `programs` or in the other one.
fn charge_records(programs: ScopedId<ProgramTag>, charge: Charge, other: bool) -> Vec<Record> {
    let record = |program| Record::Charge(program, charge);
    if other {
        vec![record(programs.other)]
    } else {
        programs.recorded().map(record).collect()
    }
}

/// Exponential back-off between retries; the field counts the retries so far.
#[derive(Debug, Default)]
pub(super) struct Backoff(u32);

impl Backoff {
    pub(super) async fn wait(&mut self) {
        let backoff = FIRST_BACKOFF * (1 << self.0.min(4));
        self.0 += 1;
        sleep(backoff.min(MAX_BACKOFF)).await;
    }
}

/// A member of a view as the target of a request.
pub(super) const fn target(group: GroupId, view: &StoreView, member: &StoreMember) -> StoreTarget {
    StoreTarget {
        identity: member.identity,
        group,
        epoch: view.epoch,
        joined: member.joined,
    }
}

pub(super) fn encode(op: &StoreOp) -> Option<EncodedOp> {
    logged(EncodedOp::of(op))
}

fn logged(encoded: Result<EncodedOp, LinkError>) -> Option<EncodedOp> {
    let failed = |err: &LinkError| log::error!("event=store_op_unencoded cause={err:?}");
    encoded.inspect_err(failed).ok()
}
