//! How a front reads and writes turns and charges.

use {
    super::detour::{Detour, Trial},
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
pub enum Reserved {
    /// It is durable and the budget covers it.
    Covered,
    /// The budget does not cover it.
    Spent {
        /// Tokens charged to other attempts.
        others: Tokens,
    },
    /// Nobody can be sure now.
    Unsure,
}

/// What was found of a turn and all before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Turns {
    /// All of them, oldest first.
    Found(Vec<TurnRecord>),
    /// There is no such turn.
    Absent,
    /// Nobody can be sure now.
    Unsure,
}

/// Reads and writes turns and charges; clones share the view.
#[derive(Debug, Clone)]
pub struct StoreClient {
    links: Links,
    data_centre: Rc<str>,
    clock: Clock,
    detour: Rc<RefCell<Detour>>,
    view: Rc<RefCell<Rc<StoreView>>>,
}

impl StoreClient {
    /// A client in a data centre that knows no stores yet.
    pub fn new(links: Links, data_centre: &str, clock: Clock) -> Self {
        Self {
            links,
            data_centre: data_centre.into(),
            clock,
            detour: Rc::default(),
            view: Rc::default(),
        }
    }

    /// Takes a view unless a newer one is held.
    pub fn learn(&self, view: StoreView) {
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
    pub fn learn_fronts(&self, fronts: Vec<SocketAddr>) {
        self.detour.borrow_mut().set_peers(fronts);
    }

    /// Version of the view that is held.
    pub fn version(&self) -> u64 {
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
            let mut detour = self.detour.borrow_mut();
            detour.asked(self.clock.now());
            detour.through()
        };
        let reply = self.ask_by(through, addr, req, ONE_STORE).await;
        if reply.is_ok() {
            self.detour.borrow_mut().answered();
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
    pub async fn pass_on(&self, addr: SocketAddr, req: StoreRequest) -> Option<StoreReply> {
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
    pub async fn keep_reaching(self) {
        loop {
            sleep(LOOK_EVERY).await;
            let trial = self.detour.borrow_mut().due(self.clock.now());
            if let Some(trial) = trial {
                self.try_way(trial).await;
            }
        }
    }

    /// Asks a store that any answer of will do.
    async fn try_way(&self, trial: Trial) {
        let view = self.view();
        let through = match trial {
            Trial::Through(front) => Some(front),
            Trial::Straight => None,
        };
        for member in &view.members {
            let req = request(&view, member, StoreOp::Chain(TurnId(0)));
            let reply = self.ask_by(through, member.addr, req, TRIAL_WITHIN).await;
            match reply {
                Ok(_) => {
                    if self.detour.borrow_mut().reached(trial) {
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
    ) -> Reserved {
        let tries = async {
            let mut pause = Pause::default();
            loop {
                match self.reserve_once(program, own, budget).await {
                    Reserved::Unsure => pause.wait().await,
                    reserved => return reserved,
                }
            }
        };
        timeout(limit, tries).await.unwrap_or(Reserved::Unsure)
    }

    async fn reserve_once(&self, program: ProgramTag, own: Charge, budget: Tokens) -> Reserved {
        let view = self.view();
        let mut tally = ChargeTally::new(&view, own, budget);
        let mut replies = self.ask_all(&view, &StoreOp::Reserve(program, own));
        loop {
            match tally.verdict() {
                ChargeVerdict::Covered => return Reserved::Covered,
                ChargeVerdict::Spent { others } => return Reserved::Spent { others },
                ChargeVerdict::Undetermined => return Reserved::Unsure,
                ChargeVerdict::Pending => {}
            }
            match replies.recv().await {
                Some((identity, Some(StoreReply::Charges(charges)))) => {
                    tally.synced(identity, charges);
                }
                Some((identity, _)) => tally.failed(identity),
                None => return Reserved::Unsure,
            }
        }
    }

    // -----------------------------------------------------------------------
    // Reads

    /// Finds a turn and all before it.
    pub async fn turns(&self, last: TurnId, limit: Duration) -> Turns {
        let tries = async {
            let mut pause = Pause::default();
            loop {
                match self.turns_once(last).await {
                    Turns::Unsure => pause.wait().await,
                    found => return found,
                }
            }
        };
        timeout(limit, tries).await.unwrap_or(Turns::Unsure)
    }

    async fn turns_once(&self, last: TurnId) -> Turns {
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
                    None => return Turns::Unsure,
                }
            }
            if !held.contains_key(&missing) {
                return match tally.verdict() {
                    LookupVerdict::Absent => Turns::Absent,
                    _ => Turns::Unsure,
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
fn in_order(held: &IndexMap<TurnId, TurnRecord>, last: TurnId) -> Turns {
    let mut turns = Vec::new();
    let mut next = Some(last);
    while let Some(turn) = next.and_then(|id| held.get(&id)) {
        turns.push(turn.clone());
        next = turn.prior;
    }
    turns.reverse();
    Turns::Found(turns)
}
