//! How a front reads and writes turns and charges.

use {
    super::path::{PathProbe, StorePath},
    crate::{
        gateway::{
            control_client::ask,
            messages::{GatewayRequest, StoreOp, StoreReply, StoreRequest},
        },
        process::Clock,
        wire::LinkRequest,
    },
    indexmap::IndexMap,
    quay_link::{LinkError, LinkRole, Links},
    quay_turns::{
        Charge, ChargeTally, ChargeVerdict, LookupTally, LookupVerdict, Record, StoreMember,
        StoreView, TurnRecord, WriteTally, WriteVerdict,
    },
    quay_types::{ProgramTag, Tokens, TurnId},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::mpsc,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Longest wait for one store.
const ONE_STORE: Duration = Duration::from_millis(800);

/// Longest wait for one store when a way is tried.
const TRIAL_WITHIN: Duration = Duration::from_millis(300);

/// Interval at which is looked whether the stores are silent.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Pause before something that too few stores answered is tried again; it
/// doubles with each try, so that stores in trouble aren't asked all the more.
const AGAIN_AFTER: Duration = Duration::from_millis(60);

/// Longest such pause.
const AGAIN_AT_MOST: Duration = Duration::from_millis(800);

/// What became of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// It is durable and the budget covers it.
    Covered,
    /// The budget does not cover it.
    Spent {
        /// Tokens charged to other attempts.
        others: Tokens,
    },
    /// Nobody can be sure now.
    Undetermined,
}

/// What was found of a turn and all before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TurnLookup {
    /// All of them, oldest first.
    Found(Vec<TurnRecord>),
    /// There is no such turn.
    Absent,
    /// Nobody can be sure now.
    Undetermined,
}

/// Reads and writes turns and charges; clones share the view.
#[derive(Debug, Clone)]
pub struct StoreClient {
    links: Links,
    data_centre: Rc<str>,
    clock: Clock,
    store_path: Rc<RefCell<StorePath>>,
    view: Rc<RefCell<Rc<StoreView>>>,
}

impl StoreClient {
    /// A client in a data centre that knows no stores yet.
    pub fn new(links: Links, data_centre: &str, clock: Clock) -> Self {
        Self {
            links,
            data_centre: data_centre.into(),
            clock,
            store_path: Rc::default(),
            view: Rc::default(),
        }
    }

    /// Takes a view unless a newer one is held.
    pub fn set_view(&self, view: StoreView) {
        if view.version >= self.view.borrow().version {
            log::info!(
                "event=stores_view epoch={} version={} members={}",
                view.epoch,
                view.version,
                view.members.len()
            );
            *self.view.borrow_mut() = Rc::new(view);
        }
    }

    /// Learns other fronts.
    pub fn set_peer_fronts(&self, fronts: Vec<SocketAddr>) {
        self.store_path.borrow_mut().set_peers(fronts);
    }

    /// Version of the view that is held.
    pub fn view_version(&self) -> u64 {
        self.view.borrow().version
    }

    fn view(&self) -> Rc<StoreView> {
        Rc::clone(&self.view.borrow())
    }

    /// Asks every member at once; answers come as they are.
    fn ask_all(
        &self,
        view: &StoreView,
        op: &StoreOp,
    ) -> mpsc::UnboundedReceiver<(u64, Option<StoreReply>)> {
        let (tx, rx) = mpsc::unbounded_channel();
        for member in &view.members {
            let (client, tx) = (self.clone(), tx.clone());
            let (identity, addr) = (member.identity, member.addr);
            let req = request(view, member, op.clone());
            spawn_local(async move {
                let reply = client.ask_one(addr, req).await;
                if let Err(err) = &reply {
                    log::debug!("event=store_unreached store={identity} cause={err:?}");
                }
                let _ = tx.send((identity, reply.ok()));
            });
        }
        rx
    }

    // -----------------------------------------------------------------------
    // The way to the stores

    /// Asks one store, straight or through another front.
    async fn ask_one(&self, addr: SocketAddr, req: StoreRequest) -> Result<StoreReply, LinkError> {
        let through = {
            let mut store_path = self.store_path.borrow_mut();
            store_path.record_request(self.clock.now());
            store_path.relay()
        };
        let reply = self.ask_by(through, addr, req, ONE_STORE).await;
        if reply.is_ok() {
            self.store_path.borrow_mut().record_reply();
        }
        reply
    }

    async fn ask_by(
        &self,
        through: Option<SocketAddr>,
        addr: SocketAddr,
        req: StoreRequest,
        within: Duration,
    ) -> Result<StoreReply, LinkError> {
        let Some(front) = through else {
            let req = LinkRequest::Gateway(GatewayRequest::Store(req));
            return ask(&self.links, (addr, LinkRole::Ledger), &req, within).await;
        };
        let req = LinkRequest::Gateway(GatewayRequest::PassOn(addr, req));
        let front = (front, LinkRole::Entry);
        let reply: Option<StoreReply> = ask(&self.links, front, &req, within).await?;
        reply.ok_or(LinkError::Silent)
    }

    /// Passes another front's question on to a store that this one knows; `None`
    /// if it did not answer.
    pub async fn forward(&self, addr: SocketAddr, req: StoreRequest) -> Option<StoreReply> {
        if !self.view().members.iter().any(|it| it.addr == addr) {
            return None;
        }
        let reply = self.ask_by(None, addr, req, ONE_STORE).await;
        if let Err(err) = &reply {
            log::debug!("event=store_unreached_for_another addr={addr} cause={err:?}");
        }
        reply.ok()
    }

    /// Looks for another way while the stores are silent, until the task is
    /// dropped.
    pub async fn probe_paths(self) {
        loop {
            sleep(LOOK_EVERY).await;
            let trial = self.store_path.borrow_mut().next_probe(self.clock.now());
            if let Some(trial) = trial {
                self.try_way(trial).await;
            }
        }
    }

    /// Asks a store that any answer of will do.
    async fn try_way(&self, trial: PathProbe) {
        let view = self.view();
        let through = match trial {
            PathProbe::Relay(front) => Some(front),
            PathProbe::Direct => None,
        };
        for member in &view.members {
            let req = request(&view, member, StoreOp::Chain(TurnId(0)));
            let reply = self.ask_by(through, member.addr, req, TRIAL_WITHIN).await;
            match reply {
                Ok(_) => {
                    if self.store_path.borrow_mut().record_success(trial) {
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

    /// Writes a record until it is durable or the time is over.
    pub async fn write(&self, record: Record, limit: Duration) -> bool {
        let op = StoreOp::Write(record);
        let tries = async {
            let mut pause = Pause::default();
            while !self.write_once(&op).await {
                pause.wait().await;
            }
        };
        timeout(limit, tries).await.is_ok()
    }

    async fn write_once(&self, op: &StoreOp) -> bool {
        let view = self.view();
        let mut tally = WriteTally::new(&view);
        let mut replies = self.ask_all(&view, op);
        while tally.verdict() == WriteVerdict::Pending {
            match replies.recv().await {
                Some((identity, Some(StoreReply::Took))) => tally.synced(identity),
                Some((identity, _)) => tally.failed(identity),
                None => return false,
            }
        }
        tally.verdict() == WriteVerdict::Durable
    }

    /// Reserves tokens of a program's budget.
    pub async fn reserve(
        &self,
        program: ProgramTag,
        own: Charge,
        budget: Tokens,
        limit: Duration,
    ) -> ReserveOutcome {
        let tries = async {
            let mut pause = Pause::default();
            loop {
                match self.reserve_once(program, own, budget).await {
                    ReserveOutcome::Undetermined => pause.wait().await,
                    reserved => return reserved,
                }
            }
        };
        timeout(limit, tries)
            .await
            .unwrap_or(ReserveOutcome::Undetermined)
    }

    async fn reserve_once(
        &self,
        program: ProgramTag,
        own: Charge,
        budget: Tokens,
    ) -> ReserveOutcome {
        let view = self.view();
        let mut tally = ChargeTally::new(&view, own, budget);
        let mut replies = self.ask_all(&view, &StoreOp::Reserve(program, own));
        loop {
            match tally.verdict() {
                ChargeVerdict::Covered => return ReserveOutcome::Covered,
                ChargeVerdict::Spent { others } => return ReserveOutcome::Spent { others },
                ChargeVerdict::Undetermined => return ReserveOutcome::Undetermined,
                ChargeVerdict::Pending => {}
            }
            match replies.recv().await {
                Some((identity, Some(StoreReply::Charges(charges)))) => {
                    tally.synced(identity, charges);
                }
                Some((identity, _)) => tally.failed(identity),
                None => return ReserveOutcome::Undetermined,
            }
        }
    }

    // -----------------------------------------------------------------------
    // Reads

    /// Finds a turn and all before it.
    pub async fn lookup_turns(&self, last: TurnId, limit: Duration) -> TurnLookup {
        let tries = async {
            let mut pause = Pause::default();
            loop {
                match self.turns_once(last).await {
                    TurnLookup::Undetermined => pause.wait().await,
                    found => return found,
                }
            }
        };
        timeout(limit, tries)
            .await
            .unwrap_or(TurnLookup::Undetermined)
    }

    async fn turns_once(&self, last: TurnId) -> TurnLookup {
        let view = self.view();
        let mut held = IndexMap::new();
        // A store of the own data centre mostly has them all.
        if let Some(near) = self.near(&view) {
            let req = request(&view, near, StoreOp::Chain(last));
            let reply = self.ask_one(near.addr, req).await;
            if let Ok(StoreReply::Chain(turns, _)) = reply {
                hold(&mut held, turns);
            }
        }
        let mut missing = last;
        loop {
            match walk(&held, missing) {
                Ok(()) => return in_order(&held, last),
                Err(next) => missing = next,
            }
            let mut tally = LookupTally::new(&view);
            let mut replies = self.ask_all(&view, &StoreOp::Chain(missing));
            while !held.contains_key(&missing) && tally.verdict() == LookupVerdict::Pending {
                match replies.recv().await {
                    Some((identity, Some(StoreReply::Chain(turns, _)))) => {
                        if turns.is_empty() {
                            tally.not_found(identity);
                        }
                        hold(&mut held, turns);
                    }
                    Some((identity, _)) => tally.failed(identity),
                    None => return TurnLookup::Undetermined,
                }
            }
            if !held.contains_key(&missing) {
                return match tally.verdict() {
                    LookupVerdict::Absent => TurnLookup::Absent,
                    _ => TurnLookup::Undetermined,
                };
            }
        }
    }

    /// A whole member in the own data centre.
    fn near<'a>(&self, view: &'a StoreView) -> Option<&'a StoreMember> {
        let mut whole = view.members.iter().filter(|it| it.whole);
        whole.find(|it| *it.data_centre == *self.data_centre)
    }
}

/// Pauses between tries.
#[derive(Debug, Default)]
struct Pause(u32);

impl Pause {
    async fn wait(&mut self) {
        let pause = AGAIN_AFTER * (1 << self.0.min(4));
        self.0 += 1;
        sleep(pause.min(AGAIN_AT_MOST)).await;
    }
}

const fn request(view: &StoreView, member: &StoreMember, op: StoreOp) -> StoreRequest {
    StoreRequest {
        to: member.identity,
        epoch: view.epoch,
        joined: member.joined,
        op,
    }
}

fn hold(held: &mut IndexMap<TurnId, TurnRecord>, turns: Vec<TurnRecord>) {
    held.extend(turns.into_iter().map(|turn| (turn.id, turn)));
}

/// Walks back from a turn; the first one that is not held is the error.
fn walk(held: &IndexMap<TurnId, TurnRecord>, from: TurnId) -> Result<(), TurnId> {
    let mut next = Some(from);
    while let Some(id) = next {
        next = held.get(&id).ok_or(id)?.prior;
    }
    Ok(())
}

/// The chain that ends with a turn, oldest first.
fn in_order(held: &IndexMap<TurnId, TurnRecord>, last: TurnId) -> TurnLookup {
    let mut turns = Vec::new();
    let mut next = Some(last);
    while let Some(turn) = next.and_then(|id| held.get(&id)) {
        turns.push(turn.clone());
        next = turn.prior;
    }
    turns.reverse();
    TurnLookup::Found(turns)
}
