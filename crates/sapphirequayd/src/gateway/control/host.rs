//! Control host: serves requests through its replica of the control group, and
//! performs the duties of the leader while it leads.

use {
    super::{
        api,
        leader_state::LeaderState,
        membership::{MembershipInputs, next_membership_change},
        saved_hosts::SavedHosts,
        state::{ControlState, IfChangedSince},
    },
    crate::{
        gateway::{
            account_limits,
            control_client::{ControlClient, exchange},
            host_memory::HostMemory,
            messages::{
                ControlCommand, ControlHosts, ControlReply, ControlRequest, FollowerState,
                GatewayRequest, TableDocument,
            },
            meters,
            server_stop::ServerStop,
        },
        process::{Clock, GroupError, GroupMsg, Mailbox, MembershipChangeError},
        wire::LinkRequest,
    },
    quay_link::{LinkRole, Links},
    quay_policy::{FleetQuotaSettings, SuspectCommand, SuspectEvent},
    quay_quorum::{Member, MembershipChange, Status},
    quay_routes::Dialect,
    quay_turns::StoreChange,
    quay_types::{Announcement, NodeId, Time},
    rand::Rng as _,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        task::{spawn_blocking, spawn_local},
        time::{sleep, timeout},
    },
};

/// Time after which a follower's long poll is answered without an update.
pub const FOLLOW_POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which the leader confirms its state with a quorum.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between checks of the membership of the control group and the
/// stores.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(250);

/// Time-out of a request to the replica, which waits for a quorum. Callers fail
/// over to another host after one second.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without a leader after which a member asks whether it was removed: several
/// elections.
const NO_LEADER_LIMIT: Duration = Duration::from_secs(1);

/// Interval at which seeds outside the control group are told where it is.
const INTRODUCE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which changes of the known control hosts are saved.
const SAVE_HOSTS_INTERVAL: Duration = Duration::from_secs(1);

/// Time without an answer after which a joining replica may replace a voter.
const VOTER_SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Time-out of a liveness check of a voter.
const VOTER_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// A control host. Clones share its state.
#[derive(Debug)]
pub struct ControlHost<D> {
    pub(super) dialect: D,
    clock: Clock,
    pub(super) links: Links,
    /// Client for the leader when another host leads.
    pub(super) client: ControlClient,
    pub(super) group: Mailbox<GroupMsg<ControlState>>,
    /// This replica, with the address at which other members reach it.
    own: Member,
    /// Number of members whose loss the group and the stores tolerate.
    losses: usize,
    /// Settings of accounts' limits.
    quotas: FleetQuotaSettings,
    /// State of the leader; `None` while this host does not lead.
    leading: Rc<RefCell<Option<LeaderState>>>,
    /// Notified when followers may have an update to receive.
    pub(super) updates: Rc<Notify>,
    /// Notified when the state has changed and must be read at once.
    state_changed: Rc<Notify>,
    /// Whether this replica is no member of the control group, as far as it can tell.
    outside: Rc<Cell<bool>>,
    /// Control hosts that were known when the process ended last.
    saved_hosts: SavedHosts,
    /// Stop of the HTTP API.
    pub(super) stop: ServerStop,
    /// Whether the host stops, so that no follower waits for an update.
    pub(super) leaves: Rc<Cell<bool>>,
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
            quotas: self.quotas,
            leading: Rc::clone(&self.leading),
            updates: Rc::clone(&self.updates),
            state_changed: Rc::clone(&self.state_changed),
            outside: Rc::clone(&self.outside),
            saved_hosts: self.saved_hosts.clone(),
            stop: self.stop.clone(),
            leaves: Rc::clone(&self.leaves),
        }
    }
}

impl<D: Dialect> ControlHost<D> {
    /// Creates a host for a running replica, which `group` reaches. The control
    /// group and the stores tolerate the loss of `losses` members each.
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
            quotas: FleetQuotaSettings::default(),
            leading: Rc::default(),
            updates: Rc::default(),
            state_changed: Rc::default(),
            outside: Rc::default(),
            saved_hosts: SavedHosts::default(),
            stop: ServerStop::default(),
            leaves: Rc::default(),
        }
    }

    /// Sets the bounds of accounts' limits.
    pub fn with_quotas(self, quotas: FleetQuotaSettings) -> Self {
        Self { quotas, ..self }
    }

    /// Keeps the known control hosts in a folder. Those that are saved there are asked
    /// besides the seeds.
    pub fn with_saved_hosts(self, saved_hosts: SavedHosts) -> Self {
        self.client.set_hosts(saved_hosts.members().to_vec());
        Self {
            saved_hosts,
            ..self
        }
    }

    /// Starts the host's tasks.
    pub fn start(
        &self,
        listener: std::net::TcpListener,
        memory: HostMemory,
    ) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let stop = self.stop.clone();
        spawn_local(api::serve(self.clone(), listener, memory, stop));
        spawn_local(self.clone().confirm_periodically());
        spawn_local(self.clone().maintain_membership());
        spawn_local(self.clone().introduce_periodically());
        spawn_local(self.clone().save_hosts_periodically());
        Ok(())
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    // -----------------------------------------------------------------------
    // Replica

    /// Sends a message to the replica. Returns `None` on a time-out.
    async fn ask_group<T: Send + 'static>(
        &self,
        msg: impl FnOnce(std::sync::mpsc::SyncSender<T>) -> GroupMsg<ControlState> + Send + 'static,
    ) -> Option<T> {
        let group = self.group.clone();
        let asked = spawn_blocking(move || group.ask(msg));
        timeout(QUORUM_TIMEOUT, asked).await.ok()?.ok()?
    }

    /// Replicates a command. Returns whether it changed the state.
    async fn propose(&self, command: ControlCommand) -> Result<bool, ControlReply> {
        let done = self
            .ask_group(|reply| GroupMsg::Propose { command, reply })
            .await;
        match done {
            Some(Ok(changed)) => {
                self.state_changed.notify_one();
                Ok(changed)
            }
            Some(Err(GroupError::NotLeader(leader))) => Err(ControlReply::NotLeader(leader)),
            Some(Err(_)) | None => Err(ControlReply::Unavailable),
        }
    }

    /// Reads the state with confirmation by a quorum. Returns `None` if its
    /// version equals `known`.
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

    /// Confirms the leader's state periodically and after each change.
    async fn confirm_periodically(self) {
        loop {
            let known = self.leading.borrow().as_ref().map(|it| it.state.version);
            // The state is known to be current as of the request: a host that is paused
            // before it reads the reply must not take the reply for new.
            let asked = self.now();
            let read = self.read(known).await;
            self.process_read(asked, read);
            let _ = timeout(CONFIRM_INTERVAL, self.state_changed.notified()).await;
        }
    }

    /// Processes the result of a confirmed read: starts, refreshes or ends
    /// leadership.
    fn process_read(&self, now: Time, read: Result<Option<Box<ControlState>>, ControlReply>) {
        let mut leading = self.leading.borrow_mut();
        match (read, leading.as_mut()) {
            (Ok(state), Some(leads)) => {
                leads.tick(now);
                if leads.confirm(now, state.map(|state| *state)) {
                    self.updates.notify_waiters();
                }
            }
            (Ok(Some(state)), None) => {
                log::info!("event=control_leads version={}", state.version);
                let run = rand::rng().next_u64() | 1;
                *leading = Some(LeaderState::new(now, run, *state, self.losses, self.quotas));
                self.updates.notify_waiters();
            }
            (Err(ControlReply::NotLeader(leader)), Some(_)) => {
                log::warn!("event=control_follows leader={leader:?}");
                *leading = None;
                self.updates.notify_waiters();
            }
            (Ok(None), None) | (Err(_), _) => {}
        }
        if let Some(leads) = leading.as_mut() {
            self.set_account_limits(now, leads);
        }
    }

    /// Puts the accounts' limits of the table in force into effect.
    fn set_account_limits(&self, now: Time, leads: &mut LeaderState) {
        let Some(text) = &leads.state.table else {
            return;
        };
        if leads.quotas.revision() == text.revision {
            return;
        }
        match self.dialect.parse_table(&text.document) {
            Ok(table) => {
                let limits = account_limits(&table);
                log::info!(
                    "event=account_limits_in_force revision={} accounts={}",
                    text.revision,
                    limits.len()
                );
                leads.quotas.set_limits(now, text.revision, limits);
                let names = table.accounts.iter().map(|it| (it.id(), it.name.clone()));
                leads.account_names = names.collect();
            }
            Err(fault) => {
                log::error!("event=account_limits_unreadable cause=\"{fault}\"");
                leads.quotas.keep_limits(text.revision);
            }
        }
    }

    /// Reply that names the leader, if this replica knows it.
    async fn not_leader(&self) -> ControlReply {
        match self.read(None).await {
            Err(reply) => reply,
            Ok(_) => ControlReply::Unavailable,
        }
    }

    // -----------------------------------------------------------------------
    // Requests

    /// Executes a request if this host leads; otherwise names the leader if it is known.
    pub async fn serve(&self, req: ControlRequest) -> ControlReply {
        match self.execute(req).await {
            // The replica of a host outside the group knows no leader.
            ControlReply::NotLeader(None) => ControlReply::NotLeader(self.leader_for_others()),
            reply => reply,
        }
    }

    /// Leader that this host has found as a client of the group. A member learns the
    /// leader through its replica, and knows none during an election.
    fn leader_for_others(&self) -> Option<SocketAddr> {
        let leader = self.client.known().leader;
        leader.filter(|leader| self.outside.get() && *leader != self.own.addr)
    }

    async fn execute(&self, req: ControlRequest) -> ControlReply {
        match req {
            ControlRequest::Follow(mark) => self.follow(&mark).await,
            ControlRequest::Announce(announcement) => self.announce(*announcement).await,
            ControlRequest::Leave(name, run) => {
                let found = self
                    .leading
                    .borrow()
                    .as_ref()
                    .map(|leads| leads.departing_run(&name, run, Clock::wall_ms()));
                match found {
                    Some(run) => {
                        self.propose_and_ack(ControlCommand::Depart(name, run))
                            .await
                    }
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
                    leads.record_join_request(now, member);
                    ControlReply::Hosts(ControlHosts {
                        leader: Some(self.own.addr),
                        members: leads.control_links().into(),
                    })
                })
                .await
            }
            ControlRequest::Introduce(told) => {
                self.client.add_hints(&told);
                ControlReply::Hosts(self.known_hosts().await)
            }
            ControlRequest::AnnounceStore(announcement, known) => {
                let now = self.now();
                self.as_leader(|leads| {
                    ControlReply::Stores(leads.record_store_announcement(now, announcement, known))
                })
                .await
            }
            ControlRequest::ReportRuns(events) => self.record_runs(events).await,
            ControlRequest::TakePermits(req) => {
                let now = self.now();
                self.as_leader(|leads| ControlReply::Permits(leads.limits.grant(now, &req)))
                    .await
            }
            ControlRequest::TakeQuota(req) => {
                let now = self.now();
                self.as_leader(|leads| ControlReply::Quota(leads.quotas.grant(now, &req)))
                    .await
            }
            ControlRequest::ShowQuotas => {
                self.as_leader(|leads| ControlReply::Quotas(leads.quota_rows()))
                    .await
            }
            ControlRequest::Retire(host) => self.retire(host).await,
            ControlRequest::Retired(host) => {
                self.as_leader(|leads| {
                    let stores = &leads.state.stores;
                    if !leads.store_planner.knows(&host) && stores.groups_on(&host) == 0 {
                        return ControlReply::Unknown;
                    }
                    let marked = stores.retiring.contains(&host);
                    let empty = leads.store_planner.is_empty(stores, &host);
                    ControlReply::Retired(marked && empty)
                })
                .await
            }
        }
    }

    /// Answers from the leader's state if this host leads and its state has been
    /// confirmed recently.
    async fn as_leader(
        &self,
        answer: impl FnOnce(&mut LeaderState) -> ControlReply,
    ) -> ControlReply {
        let now = self.now();
        let reply = self
            .leading
            .borrow_mut()
            .as_mut()
            .filter(|leads| leads.is_fresh(now))
            .map(answer);
        match reply {
            Some(reply) => reply,
            None => self.not_leader().await,
        }
    }

    /// Replicates a command and replies `Done` whether or not it changed the
    /// state.
    async fn propose_and_ack(&self, command: ControlCommand) -> ControlReply {
        match self.propose(command).await {
            Ok(_) => ControlReply::Done,
            Err(reply) => reply,
        }
    }

    /// Activates a routing table if its revision is higher than the current one.
    async fn put_table(&self, table: TableDocument) -> ControlReply {
        let revision = table.revision;
        match self.propose(ControlCommand::PutTable(table)).await {
            Ok(changed) => {
                log::info!("event=table_put revision={revision} in_force={changed}");
                ControlReply::Done
            }
            Err(reply) => reply,
        }
    }

    /// Records an announcement of an upstream. If the upstream is leaving, its
    /// departure is replicated before the reply.
    async fn announce(&self, announcement: Announcement) -> ControlReply {
        let departing = {
            let leading = self.leading.borrow();
            leading
                .as_ref()
                .map(|leads| leads.departure_command(&announcement))
        };
        if let Some(Some(command)) = departing
            && let Err(reply) = self.propose(command).await
        {
            return reply;
        }
        if let Err(reply) = self.record_versions(Some(&announcement)).await {
            return reply;
        }
        let now = self.now();
        let updates = Rc::clone(&self.updates);
        self.as_leader(|leads| {
            if !leads.is_version_recorded(&announcement) {
                return ControlReply::Unavailable;
            }
            leads.announce(now, announcement);
            updates.notify_waiters();
            ControlReply::Done
        })
        .await
    }

    /// Replicates the software versions that are listed, with that of an upstream which
    /// is to be listed, unless this leader knows that they are recorded.
    async fn record_versions(&self, more: Option<&Announcement>) -> Result<(), ControlReply> {
        let (now, at) = (self.now(), Time::from_millis(Clock::wall_ms()));
        let needed = {
            let leading = self.leading.borrow();
            let leads = leading.as_ref();
            leads.and_then(|leads| {
                let recorded = more.is_some_and(|it| leads.is_version_recorded(it));
                if recorded {
                    return None;
                }
                let known = leads.state.version;
                Some((leads.versions_command(now, at, more)?, known))
            })
        };
        let Some((command, known)) = needed else {
            return Ok(());
        };
        self.propose(command).await?;
        // Fronts get the versions before the upstream is listed.
        let asked = self.now();
        let read = self.read(Some(known)).await;
        self.process_read(asked, read);
        Ok(())
    }

    /// Replicates a front's report of runs. The time is this host's own, so that
    /// one clock orders the reports of all fronts.
    async fn record_runs(&self, events: Box<[SuspectEvent]>) -> ControlReply {
        let at = Time::from_millis(Clock::wall_ms());
        let count = events.len();
        let command = SuspectCommand::Observed { at, events };
        match self.propose(ControlCommand::Suspects(command)).await {
            Ok(changed) => {
                log::info!("event=runs_recorded events={count} changed={changed}");
                ControlReply::Done
            }
            Err(reply) => reply,
        }
    }

    /// Marks a store host for removal; its data moves to another host.
    async fn retire(&self, host: Box<str>) -> ControlReply {
        let now = self.now();
        let reply = self
            .as_leader(|leads| {
                let stores = &leads.state.stores;
                if stores.retiring.contains(&host) {
                    ControlReply::Done
                } else if !leads.store_planner.knows(&host) && stores.groups_on(&host) == 0 {
                    ControlReply::Unknown
                } else if leads.store_planner.can_retire(now, stores, &host) {
                    ControlReply::Retired(false)
                } else {
                    ControlReply::TooFew
                }
            })
            .await;
        match reply {
            ControlReply::Retired(_) => {
                self.propose_and_ack(ControlCommand::Stores(vec![StoreChange::Retire(host)]))
                    .await
            }
            reply => reply,
        }
    }

    /// Long poll of a follower: answers when there is an update, or after
    /// [`FOLLOW_POLL_TIMEOUT`].
    async fn follow(&self, mark: &FollowerState) -> ControlReply {
        let asked = self.now();
        let deadline = asked + FOLLOW_POLL_TIMEOUT;
        if let Some(leads) = self.leading.borrow_mut().as_mut()
            && leads.record_poll(asked, mark)
        {
            self.updates.notify_waiters();
        }
        loop {
            let notified = self.updates.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let now = self.now();
            if let Some(leads) = self.leading.borrow_mut().as_mut()
                && leads.is_fresh(now)
            {
                if let Some(news) = leads.update_for(now, mark) {
                    return ControlReply::Update(Box::new(news));
                }
                if now >= deadline || self.leaves.get() {
                    return ControlReply::Update(Box::new(leads.empty_update(now, mark)));
                }
            } else {
                break;
            }
            let _ = timeout(deadline.since(now), notified).await;
        }
        self.not_leader().await
    }

    // -----------------------------------------------------------------------
    // Membership

    /// Maintains the membership of the control group and the stores: asks to
    /// join while this replica is no voter, and makes due changes while it leads.
    async fn maintain_membership(self) {
        let mut followed = self.now();
        loop {
            let status = self.ask_group(GroupMsg::Status).await.flatten();
            if let Some(status) = status {
                meters::set_leader(status.leads);
                let now = self.now();
                let member = status.members.get(self.own.node).is_some();
                if member && status.leader.is_some() {
                    followed = now;
                }
                // A replica that was removed while it was away isn't told so.
                let outside = !member || now.since(followed) >= NO_LEADER_LIMIT;
                self.outside.set(outside);
                if !outside || self.client.known().members.is_empty() {
                    self.client
                        .set_hosts(status.members.all().map(|it| it.addr).collect());
                }
                if outside || !status.members.is_voter(self.own.node) {
                    self.ask_to_join().await;
                } else if status.leads {
                    self.change_members(&status).await;
                    self.change_stores().await;
                    if let Err(reply) = self.record_versions(None).await {
                        log::warn!("event=versions_unrecorded cause={reply:?}");
                    }
                }
            }
            sleep(MEMBERSHIP_INTERVAL).await;
        }
    }

    /// Asks the leader to add this replica to the control group.
    async fn ask_to_join(&self) {
        let req = ControlRequest::Join(self.own.clone());
        match self.client.request(req, QUORUM_TIMEOUT).await {
            Some(ControlReply::Hosts(hosts)) => self.client.set_hosts(hosts.members.into()),
            Some(_) => {}
            None => log::debug!("event=join_unanswered node={}", self.own.node),
        }
    }

    /// Control hosts that this host knows, with the leader that its replica knows if it
    /// is a member.
    async fn known_hosts(&self) -> ControlHosts {
        let known = self.client.known();
        if self.outside.get() {
            return known;
        }
        let status = self.ask_group(GroupMsg::Status).await.flatten();
        let leader = status.and_then(|it| Some(it.members.get(it.leader?)?.addr));
        ControlHosts { leader, ..known }
    }

    /// Tells the seeds outside the control group where the group is: processes that have
    /// just started know only the seeds of their settings.
    async fn introduce_periodically(self) {
        loop {
            sleep(INTRODUCE_INTERVAL).await;
            let members = self.client.known().members;
            let mut seeds = self.client.seeds();
            seeds.retain(|it| *it != self.own.addr && !members.contains(it));
            if seeds.is_empty() {
                continue;
            }
            let known = self.known_hosts().await;
            for seed in seeds {
                let (client, known) = (self.client.clone(), known.clone());
                spawn_local(async move { client.introduce(seed, known).await });
            }
        }
    }

    /// Keeps the known control hosts on disk, for a start at which no seed knows the
    /// control group.
    async fn save_hosts_periodically(self) {
        let mut saved = self.saved_hosts.clone();
        loop {
            let save = saved.clone();
            let members = self.client.known().members;
            if let Ok(saving) = spawn_blocking(move || save.save(members)).await {
                saved = saving;
            }
            sleep(SAVE_HOSTS_INTERVAL).await;
        }
    }

    /// Makes the next change of the control group's membership, if one is due.
    async fn change_members(&self, status: &Status) {
        let joining = {
            let mut leading = self.leading.borrow_mut();
            let Some(leads) = leading.as_mut() else {
                return;
            };
            leads.members = status.members.clone();
            leads.join_requests()
        };
        let silent = if joining.is_empty() {
            Vec::new()
        } else {
            self.silent_voters(status).await
        };
        let view = MembershipInputs {
            members: &status.members,
            joining: &joining,
            caught_up: &status.caught_up,
            silent: &silent,
            voters: 2 * self.losses + 1,
        };
        let Some(change) = next_membership_change(&view) else {
            return;
        };
        log::info!("event=members_change change={change:?}");
        let done = self.propose_membership(change).await;
        if let Some(Err(err)) = done {
            log::info!("event=members_unchanged cause={err:?}");
        }
    }

    async fn propose_membership(
        &self,
        change: MembershipChange,
    ) -> Option<Result<(), MembershipChangeError>> {
        self.ask_group(|reply| GroupMsg::Change { change, reply })
            .await
    }

    /// Voters that have not answered for at least [`VOTER_SILENCE_LIMIT`].
    async fn silent_voters(&self, status: &Status) -> Vec<NodeId> {
        let mut silent = Vec::new();
        for voter in &status.members.voters {
            if voter.node == self.own.node {
                continue;
            }
            let reachable = self.is_reachable(voter.addr).await;
            let now = self.now();
            let silence = self
                .leading
                .borrow_mut()
                .as_mut()
                .and_then(|leads| leads.record_voter_check(now, voter.node, reachable));
            if silence.is_some_and(|silence| silence >= VOTER_SILENCE_LIMIT) {
                silent.push(voter.node);
            }
        }
        silent
    }

    /// Whether a control host answers. Any reply counts: the request concerns a
    /// store host that does not exist.
    async fn is_reachable(&self, addr: SocketAddr) -> bool {
        let req = LinkRequest::Gateway(GatewayRequest::Control(ControlRequest::Retired(
            Box::default(),
        )));
        let answer: Result<ControlReply, _> = exchange(
            &self.links,
            (addr, LinkRole::Ledger),
            &req,
            VOTER_CHECK_TIMEOUT,
        )
        .await;
        answer.is_ok()
    }

    /// Makes the changes of the stores' membership that are due.
    async fn change_stores(&self) {
        let now = self.now();
        let changes = {
            let leading = self.leading.borrow();
            let leads = leading.as_ref().filter(|leads| leads.is_fresh(now));
            leads.map(|leads| leads.store_planner.due_changes(now, &leads.state.stores))
        };
        let changes = changes.unwrap_or_default();
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            log::info!("event=stores_change change={change:?}");
        }
        if let Err(reply) = self.propose(ControlCommand::Stores(changes)).await {
            log::warn!("event=stores_unchanged cause={reply:?}");
        }
    }
}
