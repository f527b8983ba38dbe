//! A control host: the replica, and what only its leader does.

use {
    super::{
        api,
        leader_state::LeaderState,
        membership::{MembershipInputs, next_membership_change},
        state::{ControlState, IfChangedSince},
    },
    crate::{
        gateway::{
            control_client::{ControlClient, ask},
            messages::{
                ControlCommand, ControlReply, ControlRequest, GatewayRequest, Mark, TableText,
            },
            meters,
        },
        process::{ChangeError, Clock, GroupError, GroupMsg, Mailbox},
        wire::LinkRequest,
    },
    quay_link::{LinkRole, Links},
    quay_quorum::{Member, MembershipChange, Status},
    quay_routes::Dialect,
    quay_turns::StoreChange,
    quay_types::{Announcement, NodeId, Time},
    rand::Rng as _,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        task::{spawn_blocking, spawn_local},
        time::{sleep, timeout},
    },
};

/// Longest time for which a follower's question is held without news.
pub const FOLLOW_POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which the leader has its state confirmed.
const CONFIRM_EVERY: Duration = Duration::from_millis(100);

/// Interval at which members of group and stores are looked at.
const MEMBERS_EVERY: Duration = Duration::from_millis(250);

/// Longest wait for a quorum; callers turn to another host after a second.
const QUORUM_WAIT: Duration = Duration::from_millis(600);

/// Silence after which a voter's place is given to a newcomer.
const VOTER_SILENT: Duration = Duration::from_secs(2);

/// Longest wait for a voter that is asked whether it lives.
const VOTER_ANSWER: Duration = Duration::from_millis(300);

/// A control host; clones share it.
#[derive(Debug)]
pub struct ControlHost<D> {
    pub(super) dialect: D,
    clock: Clock,
    links: Links,
    /// Reaches the leader when it is another host.
    pub(super) client: ControlClient,
    group: Mailbox<GroupMsg<ControlState>>,
    /// This replica, as the others reach it.
    own: Member,
    losses: usize,
    leading: Rc<RefCell<Option<LeaderState>>>,
    /// Rung when followers have something to hear.
    news: Rc<Notify>,
    /// Rung when the state is to be read again at once.
    changed: Rc<Notify>,
}

impl<D: Clone> Clone for ControlHost<D> {
    fn clone(&self) -> Self {
        Self {
            dialect: self.dialect.clone(),
            clock: self.clock,
            links: self.links.clone(),
            client: self.client.clone(),
            group: self.group.clone(),
            own: self.own.clone(),
            losses: self.losses,
            leading: Rc::clone(&self.leading),
            news: Rc::clone(&self.news),
            changed: Rc::clone(&self.changed),
        }
    }
}

impl<D: Dialect> ControlHost<D> {
    /// The host around a replica that runs.
    pub fn new(
        dialect: D,
        clock: Clock,
        links: Links,
        client: ControlClient,
        group: Mailbox<GroupMsg<ControlState>>,
        own: Member,
        losses: usize,
    ) -> Self {
        Self {
            dialect,
            clock,
            links,
            client,
            group,
            own,
            losses,
            leading: Rc::default(),
            news: Rc::default(),
            changed: Rc::default(),
        }
    }

    /// Starts the host's tasks.
    pub fn start(&self, listener: std::net::TcpListener) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        spawn_local(api::serve(self.clone(), listener));
        spawn_local(self.clone().keep_confirmed());
        spawn_local(self.clone().keep_members());
        Ok(())
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    // -----------------------------------------------------------------------
    // Replica

    /// Asks the replica; `None` if no answer came in time.
    async fn ask_group<T: Send + 'static>(
        &self,
        msg: impl FnOnce(std::sync::mpsc::SyncSender<T>) -> GroupMsg<ControlState> + Send + 'static,
    ) -> Option<T> {
        let group = self.group.clone();
        let asked = spawn_blocking(move || group.ask(msg));
        timeout(QUORUM_WAIT, asked).await.ok()?.ok()?
    }

    /// Carries out a command.
    async fn propose(&self, command: ControlCommand) -> Result<bool, ControlReply> {
        let done = self
            .ask_group(|reply| GroupMsg::Propose { command, reply })
            .await;
        match done {
            Some(Ok(changed)) => {
                self.changed.notify_one();
                Ok(changed)
            }
            Some(Err(GroupError::NotLeader(leader))) => Err(ControlReply::NotLeader(leader)),
            Some(Err(_)) | None => Err(ControlReply::Unavailable),
        }
    }

    /// Reads the state as a quorum confirms it.
    async fn read(&self, known: Option<u64>) -> Result<Option<Box<ControlState>>, ControlReply> {
        let query = IfChangedSince(known);
        let read = self
            .ask_group(move |reply| GroupMsg::Read { query, reply })
            .await;
        match read {
            Some(Ok(state)) => Ok(state),
            Some(Err(GroupError::NotLeader(leader))) => Err(ControlReply::NotLeader(leader)),
            Some(Err(_)) | None => Err(ControlReply::Unavailable),
        }
    }

    /// Has the leader's state confirmed again and again.
    async fn keep_confirmed(self) {
        loop {
            let known = self.leading.borrow().as_ref().map(|it| it.state.version);
            let read = self.read(known).await;
            let now = self.now();
            self.take_read(now, read);
            let _ = timeout(CONFIRM_EVERY, self.changed.notified()).await;
        }
    }

    /// Takes a confirmed state, or that there is none.
    fn take_read(&self, now: Time, read: Result<Option<Box<ControlState>>, ControlReply>) {
        let mut leading = self.leading.borrow_mut();
        match (read, leading.as_mut()) {
            (Ok(state), Some(leads)) => {
                leads.tick(now);
                if leads.confirm(now, state.map(|state| *state)) {
                    self.news.notify_waiters();
                }
            }
            (Ok(Some(state)), None) => {
                log::info!("event=control_leads version={}", state.version);
                let run = rand::rng().next_u64() | 1;
                *leading = Some(LeaderState::new(now, run, *state, self.losses));
                self.news.notify_waiters();
            }
            (Err(ControlReply::NotLeader(leader)), Some(_)) => {
                log::warn!("event=control_follows leader={leader:?}");
                *leading = None;
                self.news.notify_waiters();
            }
            (Ok(None), None) | (Err(_), _) => {}
        }
    }

    /// Who leads, as far as this replica knows.
    async fn not_leader(&self) -> ControlReply {
        match self.read(None).await {
            Err(reply) => reply,
            Ok(_) => ControlReply::Unavailable,
        }
    }

    // -----------------------------------------------------------------------
    // Requests

    /// Answers a request, if this host leads.
    pub async fn serve(&self, req: ControlRequest) -> ControlReply {
        match req {
            ControlRequest::Follow(mark) => self.follow(&mark).await,
            ControlRequest::Announce(announcement) => self.announce(*announcement).await,
            ControlRequest::Leave(name, run) => {
                let found = self
                    .leading
                    .borrow()
                    .as_ref()
                    .map(|leads| leads.leaving_run(&name, run, Clock::wall_ms()));
                match found {
                    Some(run) => self.done(ControlCommand::Depart(name, run)).await,
                    None => self.not_leader().await,
                }
            }
            ControlRequest::PutTable(table) => self.put_table(table).await,
            ControlRequest::GetTable => match self.read(None).await {
                Ok(state) => ControlReply::Table(state.and_then(|state| state.table)),
                Err(reply) => reply,
            },
            ControlRequest::Join(member) => {
                let now = self.now();
                self.as_leader(|leads| {
                    leads.join(now, member);
                    ControlReply::Done
                })
                .await
            }
            ControlRequest::Hello(hello) => {
                let now = self.now();
                self.as_leader(|leads| ControlReply::Stores(leads.hello(now, hello)))
                    .await
            }
            ControlRequest::Retire(host) => self.retire(host).await,
            ControlRequest::Retired(host) => {
                self.as_leader(|leads| {
                    let stores = &leads.state.stores;
                    if !leads.roster.knows(&host) && stores.member_on_host(&host).is_none() {
                        return ControlReply::Unknown;
                    }
                    let marked = stores.retiring.contains(&host);
                    let gone = stores.member_on_host(&host).is_none() && stores.all_whole();
                    ControlReply::Retired(marked && gone)
                })
                .await
            }
        }
    }

    /// Answers from what the leader holds, if this host leads.
    async fn as_leader(
        &self,
        answer: impl FnOnce(&mut LeaderState) -> ControlReply,
    ) -> ControlReply {
        let now = self.now();
        let reply = self
            .leading
            .borrow_mut()
            .as_mut()
            .filter(|leads| leads.fresh(now))
            .map(answer);
        match reply {
            Some(reply) => reply,
            None => self.not_leader().await,
        }
    }

    /// Carries out a command whose outcome does not matter to the caller.
    async fn done(&self, command: ControlCommand) -> ControlReply {
        match self.propose(command).await {
            Ok(_) => ControlReply::Done,
            Err(reply) => reply,
        }
    }

    /// Puts a table into force.
    async fn put_table(&self, table: TableText) -> ControlReply {
        let revision = table.revision;
        match self.propose(ControlCommand::PutTable(table)).await {
            Ok(changed) => {
                log::info!("event=table_put revision={revision} in_force={changed}");
                ControlReply::Done
            }
            Err(reply) => reply,
        }
    }

    /// Takes an announcement; one that says the upstream leaves is answered
    /// once that is durable.
    async fn announce(&self, announcement: Announcement) -> ControlReply {
        let departing = {
            let leading = self.leading.borrow();
            leading.as_ref().map(|leads| leads.departing(&announcement))
        };
        if let Some(Some(command)) = departing
            && let Err(reply) = self.propose(command).await
        {
            return reply;
        }
        let now = self.now();
        let news = Rc::clone(&self.news);
        self.as_leader(|leads| {
            leads.announce(now, announcement);
            news.notify_waiters();
            ControlReply::Done
        })
        .await
    }

    /// Marks a store host as one to be emptied.
    async fn retire(&self, host: Box<str>) -> ControlReply {
        let now = self.now();
        let refused = self
            .as_leader(|leads| {
                let stores = &leads.state.stores;
                if stores.retiring.contains(&host) {
                    ControlReply::Done
                } else if !leads.roster.knows(&host) && stores.member_on_host(&host).is_none() {
                    ControlReply::Unknown
                } else if leads.roster.can_retire(now, stores, &host) {
                    ControlReply::Retired(false)
                } else {
                    ControlReply::TooFew
                }
            })
            .await;
        match refused {
            ControlReply::Retired(_) => {
                self.done(ControlCommand::Stores(StoreChange::Retire(host)))
                    .await
            }
            reply => reply,
        }
    }

    /// Answers a follower once there is something that it does not know.
    async fn follow(&self, mark: &Mark) -> ControlReply {
        let ends = self.now() + FOLLOW_POLL_TIMEOUT;
        loop {
            let rung = self.news.notified();
            tokio::pin!(rung);
            rung.as_mut().enable();
            let now = self.now();
            if let Some(leads) = self.leading.borrow_mut().as_mut()
                && leads.fresh(now)
            {
                if let Some(news) = leads.news(now, mark) {
                    return ControlReply::News(Box::new(news));
                }
                if now >= ends {
                    return ControlReply::News(Box::new(leads.no_news(now, mark)));
                }
            } else {
                break;
            }
            let _ = timeout(ends.since(now), rung).await;
        }
        self.not_leader().await
    }

    // -----------------------------------------------------------------------
    // Members

    /// Keeps the members of the group and of the stores as they should be.
    async fn keep_members(self) {
        loop {
            let status = self.ask_group(GroupMsg::Status).await.flatten();
            if let Some(status) = status {
                meters::leads(status.leads);
                self.client
                    .learn(status.members.all().map(|it| it.addr).collect());
                if !status.members.is_voter(self.own.node) {
                    self.ask_to_join().await;
                } else if status.leads {
                    self.change_members(&status).await;
                    self.change_stores().await;
                }
            }
            sleep(MEMBERS_EVERY).await;
        }
    }

    /// Asks the leader for membership.
    async fn ask_to_join(&self) {
        let req = ControlRequest::Join(self.own.clone());
        if self.client.ask(req, QUORUM_WAIT).await.is_none() {
            log::debug!("event=join_unanswered node={}", self.own.node);
        }
    }

    /// Changes the members of the group if that is due.
    async fn change_members(&self, status: &Status) {
        let joining = {
            let mut leading = self.leading.borrow_mut();
            let Some(leads) = leading.as_mut() else {
                return;
            };
            leads.members = status.members.clone();
            leads.joining()
        };
        let silent = if joining.is_empty() {
            Vec::new()
        } else {
            self.silent_voters(status).await
        };
        let view = MembershipInputs {
            members: &status.members,
            joining: &joining,
            silent: &silent,
            voters: 2 * self.losses + 1,
        };
        let Some(change) = next_membership_change(&view) else {
            return;
        };
        log::info!("event=members_change change={change:?}");
        let done = self.change(change).await;
        if let Some(Err(err)) = done {
            log::info!("event=members_unchanged cause={err:?}");
        }
    }

    async fn change(&self, change: MembershipChange) -> Option<Result<(), ChangeError>> {
        self.ask_group(|reply| GroupMsg::Change { change, reply })
            .await
    }

    /// Voters that have not answered for a while.
    async fn silent_voters(&self, status: &Status) -> Vec<NodeId> {
        let mut silent = Vec::new();
        for voter in &status.members.voters {
            if voter.node == self.own.node {
                continue;
            }
            let answers = self.answers(voter.addr).await;
            let now = self.now();
            let silence = self
                .leading
                .borrow_mut()
                .as_mut()
                .and_then(|leads| leads.answered(now, voter.node, answers));
            if silence.is_some_and(|silence| silence >= VOTER_SILENT) {
                silent.push(voter.node);
            }
        }
        silent
    }

    /// Whether a control host answers at all.
    async fn answers(&self, addr: SocketAddr) -> bool {
        let req = LinkRequest::Gateway(GatewayRequest::Control(ControlRequest::Retired(
            Box::default(),
        )));
        let answer: Result<ControlReply, _> =
            ask(&self.links, (addr, LinkRole::Ledger), &req, VOTER_ANSWER).await;
        answer.is_ok()
    }

    /// Changes the members of the stores if that is due.
    async fn change_stores(&self) {
        let now = self.now();
        let change = {
            let leading = self.leading.borrow();
            leading
                .as_ref()
                .filter(|leads| leads.fresh(now))
                .and_then(|leads| leads.roster.next_change(now, &leads.state.stores))
        };
        if let Some(change) = change {
            log::info!("event=stores_change change={change:?}");
            if let Err(reply) = self.propose(ControlCommand::Stores(change)).await {
                log::warn!("event=stores_unchanged cause={reply:?}");
            }
        }
    }
}
