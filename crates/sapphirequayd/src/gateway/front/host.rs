//! A front: what lives as long as the process.

use {
    super::{
        call, connections::Connections, conversation_cache::ConversationCache,
        startup_wait::StartupWait, upstreams::Upstreams,
    },
    crate::{
        gateway::{
            control_client::ControlClient,
            http_server::{self, Body, ServerLimits, full},
            messages::{ControlReply, ControlRequest, ControlUpdate, FollowerState},
            meters,
            store::StoreClient,
        },
        process::Clock,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    quay_routes::{Dialect, RoutingTable},
    quay_types::{Time, TurnId},
    rand::Rng as _,
    std::{
        cell::{Cell, RefCell, RefMut},
        convert::Infallible,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        task::spawn_local,
        time::{Instant, sleep, timeout_at},
    },
};

/// Longest wait for news from the control group.
const NEWS_WITHIN: Duration = Duration::from_millis(1_600);

/// Pause after the control group was not reached.
const AGAIN_AFTER: Duration = Duration::from_millis(100);

/// Silence of the control group after which the front does not trust what it
/// knows: less than the 2 s in which a change must be in force.
const IN_TOUCH: Duration = Duration::from_millis(1_500);

/// Silence of the control group after which the front takes no callers: longer
/// than a restart of all control hosts with an election (2.0 s).
const READY: Duration = Duration::from_millis(2_300);

/// Time from the start in which the front waits for a table and upstreams: an
/// election after a restart of all (0.5 s), and starts 0.3 s apart, with room.
const STARTING: Duration = Duration::from_secs(2);

/// Interval at which old reports and idle connections are looked at.
const TICK_EVERY: Duration = Duration::from_millis(300);

/// Time for which new callers still come after the front has said it takes
/// none: two questions a second apart, and the answers' way.
const LINGER: Duration = Duration::from_millis(2_500);

/// Time that is left for the process to end.
const ENDING: Duration = Duration::from_millis(700);

/// A front; clones share it.
#[derive(Debug)]
pub struct FrontHost<D>(Rc<Shared<D>>);

impl<D> Clone for FrontHost<D> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

#[derive(Debug)]
struct Shared<D> {
    dialect: D,
    clock: Clock,
    control: ControlClient,
    stores: StoreClient,
    upstreams: RefCell<Upstreams>,
    connections: Connections,
    chains: RefCell<ConversationCache>,
    table: RefCell<Option<Rc<RoutingTable>>>,
    limits: ServerLimits,
    startup: StartupWait,
    /// When the control group was heard last.
    heard: Cell<Option<Time>>,
    draining: Cell<bool>,
    /// Identity of this front to those that it asks.
    reader: u64,
    /// Links of this front.
    link: SocketAddr,
}

impl<D: Dialect> FrontHost<D> {
    /// A front that knows nothing yet.
    pub fn new(
        dialect: D,
        clock: Clock,
        data_centre: &str,
        control: ControlClient,
        stores: StoreClient,
        chain_cache_bytes: usize,
        link: SocketAddr,
    ) -> Self {
        Self(Rc::new(Shared {
            dialect,
            clock,
            control,
            stores,
            upstreams: RefCell::new(Upstreams::new(data_centre)),
            connections: Connections::default(),
            chains: RefCell::new(ConversationCache::new(chain_cache_bytes)),
            table: RefCell::default(),
            limits: ServerLimits::default(),
            startup: StartupWait::new(clock.now(), STARTING),
            heard: Cell::default(),
            draining: Cell::default(),
            reader: rand::rng().next_u64(),
            link,
        }))
    }

    /// Starts the front's tasks.
    pub fn start(&self, callers: TcpListener, ready: TcpListener) {
        spawn_local(self.clone().keep_following());
        spawn_local(self.clone().keep_ticking());
        spawn_local(self.0.stores.clone().probe_paths());
        let front = self.clone();
        spawn_local(async move {
            let shared = front.clone();
            let answer = move |req: Request<Incoming>| {
                let front = shared.clone();
                async move { Ok::<_, Infallible>(call::answer(front, req).await) }
            };
            http_server::serve(callers, answer, &front.0.limits).await;
        });
        let front = self.clone();
        spawn_local(async move {
            let answer = move |req: Request<Incoming>| {
                let response = front.readiness(&req);
                async move { Ok::<_, Infallible>(response) }
            };
            http_server::serve(ready, answer, &ServerLimits::default()).await;
        });
    }

    /// Answers whether the front takes callers.
    fn readiness(&self, req: &Request<Incoming>) -> Response<Body> {
        let mut response = Response::new(full(Bytes::new()));
        let asks = self
            .dialect()
            .is_readiness_probe(req.method(), req.uri().path());
        *response.status_mut() = match (asks, self.ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        response
    }

    fn ready(&self) -> bool {
        let now = self.now();
        let heard = self.0.heard.get();
        let heard = heard.is_some_and(|at| now.since(at) < READY);
        heard && self.table().is_some() && !self.draining()
    }

    // -----------------------------------------------------------------------
    // What calls need

    /// Time since the process started.
    pub fn now(&self) -> Time {
        self.0.clock.now()
    }

    /// The dialect that callers speak.
    pub fn dialect(&self) -> &D {
        &self.0.dialect
    }

    /// The routing table in force, as far as the front knows.
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        self.0.table.borrow().clone()
    }

    /// The routing table; one that has just started waits for it.
    pub async fn table_soon(&self, ends: Time) -> Option<Rc<RoutingTable>> {
        let startup = &self.0.startup;
        startup.wait_for(ends, || self.now(), || self.table()).await
    }

    /// Waits, if the front has just started, until it knows who serves a service.
    pub async fn served_soon(&self, service: &str, ends: Time) {
        let look = || self.upstreams().serves(service).then_some(());
        self.0.startup.wait_for(ends, || self.now(), look).await;
    }

    /// Whether the control group has been heard so lately that no change can
    /// have been missed.
    pub fn in_touch(&self, now: Time) -> bool {
        let heard = self.0.heard.get();
        heard.is_some_and(|at| now.since(at) < IN_TOUCH)
    }

    /// Whether the front ends soon.
    pub fn draining(&self) -> bool {
        self.0.draining.get()
    }

    /// The upstreams.
    pub fn upstreams(&self) -> RefMut<'_, Upstreams> {
        self.0.upstreams.borrow_mut()
    }

    /// Connections to upstreams.
    pub fn connections(&self) -> &Connections {
        &self.0.connections
    }

    /// The stores.
    pub fn stores(&self) -> &StoreClient {
        &self.0.stores
    }

    /// A conversation up to a turn, if this front has seen it of late.
    pub fn chain(&self, turn: TurnId) -> Option<Bytes> {
        let now = self.now();
        self.0.chains.borrow_mut().get(now, turn)
    }

    /// Takes a conversation up to a turn.
    pub fn put_chain(&self, turn: TurnId, conversation: Bytes) {
        let now = self.now();
        self.0.chains.borrow_mut().put(now, turn, conversation);
    }

    // -----------------------------------------------------------------------
    // Tasks

    /// Follows the control group.
    async fn keep_following(self) {
        loop {
            let mark = self.mark();
            let asked = self
                .0
                .control
                .request(ControlRequest::Follow(mark), NEWS_WITHIN)
                .await;
            match asked {
                Some(ControlReply::Update(news)) => self.learn(*news),
                _ => sleep(AGAIN_AFTER).await,
            }
        }
    }

    fn mark(&self) -> FollowerState {
        FollowerState {
            revision: self.table().map_or(0, |table| table.revision),
            stores: self.0.stores.view_version(),
            directory: self.upstreams().ask(self.0.reader),
            link: self.0.link,
        }
    }

    fn learn(&self, news: ControlUpdate) {
        let now = self.now();
        self.0.heard.set(Some(now));
        self.0.control.set_hosts(news.controls);
        self.0.stores.set_peer_fronts(news.followers);
        if let Some(stores) = news.stores {
            self.0.stores.set_view(stores);
        }
        self.upstreams().learn(now, news.directory);
        if let Some(text) = news.table {
            self.learn_table(&text.document);
        }
        self.0.startup.notify();
    }

    fn learn_table(&self, document: &[u8]) {
        let table = match self.dialect().parse_table(document) {
            Ok(table) => table,
            Err(fault) => {
                log::error!("event=table_unreadable cause=\"{fault}\"");
                return;
            }
        };
        let held = self.table();
        if held.is_some_and(|held| held.revision >= table.revision) {
            return;
        }
        log::info!(
            "event=table_in_force revision={} routes={}",
            table.revision,
            table.routes.len()
        );
        let limits = &self.0.limits;
        limits.head_bytes.set(table.limits.head_bytes as usize);
        limits.idle.set(table.limits.idle_timeout);
        self.0.table.replace(Some(Rc::new(table)));
    }

    /// Looks at old reports and idle connections, again and again.
    async fn keep_ticking(self) {
        loop {
            sleep(TICK_EVERY).await;
            let now = self.now();
            self.upstreams().tick(now);
            self.0.chains.borrow_mut().tick(now);
            self.0.connections.close_idle();
            let heard = self.0.heard.get();
            meters::set_front(
                self.0.limits.closing.open(),
                heard.map(|at| now.since(at)),
                self.table().map_or(0, |table| table.revision),
                self.0.stores.view_version(),
            );
        }
    }

    /// Ends without cutting requests off.
    pub async fn drain(&self, grace: Duration) {
        let ends = Instant::now() + grace.saturating_sub(ENDING);
        self.0.draining.set(true);
        log::info!(
            "event=drain_began connections={}",
            self.0.limits.closing.open()
        );
        sleep(LINGER.min(grace / 2)).await;
        let closing = &self.0.limits.closing;
        closing.begin();
        if timeout_at(ends, closing.all_closed()).await.is_err() {
            log::error!("event=drain_cut connections={}", closing.open());
        } else {
            log::info!("event=drain_ended");
        }
    }
}
