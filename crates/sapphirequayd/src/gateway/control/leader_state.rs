//! State of the control group's leader that is not replicated.

use {
    super::state::ControlState,
    crate::gateway::messages::{ControlCommand, ControlUpdate, FollowerState, QuotaRow},
    indexmap::{IndexMap, IndexSet},
    quay_members::{
        Changes, DepartureChanges, DepartureLog, Directory, Heartbeat, MembersReply,
        MembersSettings,
    },
    quay_policy::{
        FleetQuotaAllocator, FleetQuotaSettings, LimitAllocator, ServiceVersion, VersionRollout,
        VersionRolloutSettings, VersionsSeen,
    },
    quay_quorum::{Member, Membership},
    quay_turns::{MembershipPlanner, MembershipSettings, StoreAnnouncement, StoreMap},
    quay_types::{AccountId, Announcement, Incarnation, NodeId, Time, UpstreamId, UpstreamState},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        ops::Bound::{Excluded, Unbounded},
        time::Duration,
    },
};

/// Maximum age of a confirmed state that is served to followers.
const MAX_STATE_AGE: Duration = Duration::from_millis(600);

/// Time from the start of a leader until it forgets versions that are not listed. Before
/// it fronts may still use upstreams whose heartbeats have not reached the leader.
const FORGET_DELAY: Duration = Duration::from_mins(1);

/// Time after which a request to join expires.
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(2);

/// Time after its latest poll for which a follower is listed to other
/// followers: several poll intervals, which are at most 0.4 s.
const FOLLOWER_TTL: Duration = Duration::from_secs(3);

/// Number of other followers that are listed to each follower: two may be lost
/// and another one be cut off.
const LISTED_FOLLOWERS: usize = 4;

/// State of the leader, with a confirmed copy of the replicated state. The rest
/// is soft state, which a new leader rebuilds from heartbeats and polls.
#[derive(Debug)]
pub struct LeaderState {
    /// Replicated state that a quorum confirmed last.
    pub state: ControlState,
    /// Time of that confirmation.
    confirmed: Time,
    /// Time at which this host began to lead.
    began: Time,
    directory: Directory,
    /// Latest announcement of each upstream.
    announced: IndexMap<UpstreamId, Announcement>,
    /// Upstreams that get no new work, for followers that have entries of an earlier leader.
    departures: DepartureLog,
    /// Decides when upstreams of a new version may be listed.
    rollout: VersionRollout<SocketAddr>,
    /// Latest announcements of upstreams that may not be listed yet.
    held: IndexMap<UpstreamId, Announcement>,
    /// Plans the membership of the stores from the announcements of store hosts.
    pub store_planner: MembershipPlanner,
    /// Replicas that ask to join, with the time of the latest request.
    join_requests: IndexMap<NodeId, (Member, Time)>,
    /// Time since which each silent voter has not answered.
    silent_voters: IndexMap<NodeId, Time>,
    /// Members of the control group.
    pub members: Membership,
    /// Time of each follower's latest poll, by the address of its link.
    followers: BTreeMap<SocketAddr, Time>,
    /// Issues permits for limited upstreams.
    pub limits: LimitAllocator,
    /// Issues permits for accounts with a limit.
    pub quotas: FleetQuotaAllocator,
    /// Names of these accounts.
    pub account_names: IndexMap<AccountId, Box<str>>,
}

impl LeaderState {
    /// Creates the state of a new leader. `run` must differ from that of earlier
    /// leaders.
    pub fn new(
        now: Time,
        run: u64,
        state: ControlState,
        losses: usize,
        quotas: FleetQuotaSettings,
    ) -> Self {
        let members = MembersSettings {
            // Upstreams in the deployments send heartbeats every 1.2 s, sometimes
            // several seconds late.
            heartbeat: Duration::from_millis(1_200),
            lease: Duration::from_secs(8),
            ..MembersSettings::default()
        };
        let store_settings = MembershipSettings {
            members: 2 * losses + 1,
            ..MembershipSettings::default()
        };
        let mut departures = DepartureLog::default();
        for (name, run) in &state.departures {
            departures.record((UpstreamId::of(name), *run));
        }
        Self {
            state,
            confirmed: now,
            began: now,
            directory: Directory::new(now, run, members),
            announced: IndexMap::new(),
            departures,
            rollout: VersionRollout::new(now, VersionRolloutSettings::default()),
            held: IndexMap::new(),
            store_planner: MembershipPlanner::new(store_settings, now),
            join_requests: IndexMap::new(),
            silent_voters: IndexMap::new(),
            members: Membership::default(),
            followers: BTreeMap::new(),
            limits: LimitAllocator::default(),
            quotas: FleetQuotaAllocator::new(now, run, quotas),
            account_names: IndexMap::new(),
        }
    }

    /// Records that a quorum confirmed the state, or a newer one. Returns whether
    /// the state changed.
    pub fn confirm(&mut self, now: Time, newer: Option<ControlState>) -> bool {
        self.confirmed = now;
        let changed = newer.is_some();
        if let Some(state) = newer {
            for (name, run) in &state.departures {
                if self.state.departures.get(name) != Some(run) {
                    self.departures.record((UpstreamId::of(name), *run));
                }
            }
            self.state = state;
            self.mark_departed(now);
        }
        changed
    }

    /// Whether the state was confirmed recently enough to be served.
    pub fn is_fresh(&self, now: Time) -> bool {
        now.since(self.confirmed) < MAX_STATE_AGE
    }

    /// Expires upstreams without heartbeats, requests to join, followers that no
    /// longer poll, and limits for which no permits are asked.
    pub fn tick(&mut self, now: Time) {
        self.directory.tick(now);
        self.limits.tick(now);
        self.quotas.tick(now);
        self.release_held(now);
        self.join_requests
            .retain(|_, (_, heard)| now.since(*heard) < JOIN_REQUEST_TTL);
        self.followers
            .retain(|_, heard| now.since(*heard) < FOLLOWER_TTL);
    }

    /// Limits of accounts and their use.
    pub fn quota_rows(&self) -> Box<[QuotaRow]> {
        let rows = self.quotas.reports().map(|it| QuotaRow {
            account: self
                .account_names
                .get(&it.account)
                .cloned()
                .unwrap_or_default(),
            rate: it.limit.rate,
            burst: it.limit.burst,
            free: it.free,
            held: it.held,
            used: it.used,
            program_length: it.program_length,
        });
        rows.collect()
    }

    // -----------------------------------------------------------------------
    // Upstreams

    /// Command that records the software versions that are listed, with that of an
    /// upstream which is to be listed; `None` if they are recorded. `at` is the Unix time.
    pub fn versions_command(
        &self,
        now: Time,
        at: Time,
        more: Option<&Announcement>,
    ) -> Option<ControlCommand> {
        let kinds = self.directory.kinds().chain(more.map(|it| &it.kind));
        let listed = kinds.filter_map(|kind| Some((kind.service()?, kind.version())));
        let listed: IndexSet<ServiceVersion> = listed.collect();
        let seen = VersionsSeen {
            at,
            listed: listed.into_iter().collect(),
            whole: now.since(self.began) >= FORGET_DELAY,
        };
        let needed = self.state.versions.needs(&seen);
        needed.then_some(ControlCommand::Versions(seen))
    }

    /// Whether an upstream with this version may be listed.
    pub fn is_version_recorded(&self, announcement: &Announcement) -> bool {
        let kind = &announcement.kind;
        let version = kind.service().map(|service| (service, kind.version()));
        version.is_none_or(|it| self.state.versions.contains(it))
    }

    /// Command that records the departure of an upstream, if the announcement
    /// says that this run leaves and no departure of this or a later run is
    /// recorded.
    pub fn departure_command(&self, announcement: &Announcement) -> Option<ControlCommand> {
        let leaves = announcement.state != UpstreamState::Serving;
        let known = self.state.departures.get(&announcement.name);
        let run = announcement.incarnation;
        (leaves && known < Some(&run))
            .then(|| ControlCommand::Depart(announcement.name.clone(), run))
    }

    /// Run that a leaving upstream ends: the named run, else the latest announced
    /// one, else one numbered `wall_ms`, the Unix time in milliseconds.
    pub fn departing_run(
        &self,
        name: &str,
        named: Option<Incarnation>,
        wall_ms: u64,
    ) -> Incarnation {
        let announced = self.announced.get(&UpstreamId::of(name));
        named
            .or(announced.map(|it| it.incarnation))
            // Runs are numbered by their start as Unix time in milliseconds.
            .unwrap_or(Incarnation(wall_ms))
    }

    /// Records an announcement, unless it is older than the latest one of the
    /// upstream. An announcement in which only the sequence number changed is
    /// processed as a heartbeat. An upstream of a version that followers may not know
    /// yet is listed later.
    pub fn announce(&mut self, now: Time, announcement: Announcement) {
        let id = announcement.upstream();
        let serves = announcement.state == UpstreamState::Serving;
        if serves && !self.may_list(now, &announcement) {
            let order = |of: &Announcement| (of.incarnation, of.sequence);
            let held = self.held.entry(id).or_insert_with(|| {
                log::info!(
                    "event=upstream_held upstream={} run={} version={}",
                    announcement.name,
                    announcement.incarnation,
                    announcement.kind.version_label()
                );
                announcement.clone()
            });
            if order(&announcement) > order(held) {
                *held = announcement;
            }
            return;
        }
        self.held.swap_remove(&id);
        self.list(now, announcement);
    }

    /// Whether an upstream of the announced version may be listed.
    fn may_list(&mut self, now: Time, announcement: &Announcement) -> bool {
        let kind = &announcement.kind;
        let version = kind.service().map(|service| (service, kind.version()));
        let recorded = self.state.versions.list();
        version.is_none_or(|it| self.rollout.may_list(now, it, recorded))
    }

    /// Lists the upstreams that waited until all followers know their version. Returns
    /// whether there were any.
    fn release_held(&mut self, now: Time) -> bool {
        let mut released = false;
        for (id, announcement) in std::mem::take(&mut self.held) {
            if self.may_list(now, &announcement) {
                self.list(now, announcement);
                released = true;
            } else {
                self.held.insert(id, announcement);
            }
        }
        released
    }

    fn list(&mut self, now: Time, announcement: Announcement) {
        let id = announcement.upstream();
        let known = self.announced.get(&id);
        let unchanged = known.is_some_and(|known| {
            let with_sequence = Announcement {
                sequence: announcement.sequence,
                ..known.clone()
            };
            with_sequence == announcement
        });
        let older = known.is_some_and(|known| {
            let order = |of: &Announcement| (of.incarnation, of.sequence);
            order(&announcement) < order(known)
        });
        if older {
            return;
        }
        let heartbeat = Heartbeat {
            upstream: id,
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            acked: announcement.sequence,
            state: announcement.state,
            load: announcement.load,
        };
        let heard = unchanged && self.directory.heartbeat(now, &heartbeat) != MembersReply::Unknown;
        if !heard {
            log::info!(
                "event=upstream_announced upstream={} run={} version={} addr={} state={:?}",
                announcement.name,
                announcement.incarnation,
                announcement.kind.version_label(),
                announcement.addr,
                announcement.state
            );
            let reply = self.directory.announce(now, announcement.clone());
            if reply == MembersReply::Full {
                log::error!("event=directory_full upstream={}", announcement.name);
                return;
            }
        }
        self.announced.insert(id, announcement);
        self.mark_departed(now);
    }

    /// Marks the upstreams whose run has departed as draining in the directory.
    fn mark_departed(&mut self, now: Time) {
        let departed = self.announced.iter().filter(|(_, it)| {
            let run = self.state.departures.get(&it.name);
            run.is_some_and(|run| *run >= it.incarnation)
        });
        let departed: IndexSet<UpstreamId> = departed.map(|(id, _)| *id).collect();
        self.directory.set_drained(now, departed);
    }

    // -----------------------------------------------------------------------
    // Followers

    /// Records the poll of a follower whose state is `mark`. Returns whether upstreams
    /// are listed now that this follower knows their version.
    pub fn record_poll(&mut self, now: Time, mark: &FollowerState) -> bool {
        self.followers.insert(mark.link, now);
        self.rollout.record_poll(now, mark.link, mark.versions);
        self.release_held(now)
    }

    /// Update for a follower whose state is `mark`; `None` if it is up to date.
    pub fn update_for(&mut self, now: Time, mark: &FollowerState) -> Option<ControlUpdate> {
        let directory = self.directory_changes(now, mark);
        let held = self.state.table.as_ref();
        let revision = held.map_or(0, |table| table.revision);
        let table = held.filter(|_| revision > mark.revision).cloned();
        let stores = &self.state.stores;
        let stores = (stores.version != mark.stores).then(|| stores.clone());
        let listed = &self.state.suspects.listed;
        let suspects = (listed.version != mark.suspects).then(|| listed.clone());
        let versions = self.state.versions.list();
        let versions = (versions.revision != mark.versions).then(|| versions.clone());
        let departures = self.departures_for(mark);
        let nothing = table.is_none()
            && stores.is_none()
            && suspects.is_none()
            && versions.is_none()
            && departures.departures.is_empty();
        if nothing && is_empty(&directory) {
            return None;
        }
        Some(ControlUpdate {
            version: self.state.version,
            table,
            stores,
            directory,
            controls: self.control_links(),
            followers: self.neighbours_of(mark.link),
            suspects,
            versions,
            departures,
        })
    }

    /// Update without table and stores, which shows a follower that the leader is
    /// alive.
    pub fn empty_update(&mut self, now: Time, mark: &FollowerState) -> ControlUpdate {
        ControlUpdate {
            version: self.state.version,
            table: None,
            stores: None,
            directory: self.directory_changes(now, mark),
            controls: self.control_links(),
            followers: self.neighbours_of(mark.link),
            suspects: None,
            versions: None,
            departures: self.departures_for(mark),
        }
    }

    /// Departures that a follower lacks. One that followed another leader until now gets
    /// all of them.
    fn departures_for(&self, mark: &FollowerState) -> DepartureChanges {
        let Some(known) = mark.departures else {
            return DepartureChanges::default();
        };
        let same_leader = mark.directory.run == self.directory.run();
        self.departures.since(if same_leader { known } else { 0 })
    }

    /// Directory changes for a follower, without what it can't read.
    fn directory_changes(&mut self, now: Time, mark: &FollowerState) -> Changes {
        let mut changes = self.directory.changes(now, &mark.directory);
        if !mark.reads_versions {
            for entry in &mut changes.full {
                let kind = entry.announcement.kind.clone();
                entry.announcement.kind = kind.without_version();
            }
        }
        changes
    }

    /// The followers after `link` in the cyclic order of their addresses, so that
    /// each follower is listed to a few others, however many there are.
    fn neighbours_of(&self, link: SocketAddr) -> Vec<SocketAddr> {
        let after = self.followers.range((Excluded(link), Unbounded));
        let before = self.followers.range(..link);
        let neighbours = after.chain(before).map(|(other, _)| *other);
        neighbours.take(LISTED_FOLLOWERS).collect()
    }

    /// Addresses of the links of all control hosts.
    pub fn control_links(&self) -> Vec<SocketAddr> {
        self.members.all().map(|member| member.addr).collect()
    }

    // -----------------------------------------------------------------------
    // Membership

    /// Records a replica's request to join, in place of an earlier replica at its
    /// address.
    pub fn record_join_request(&mut self, now: Time, member: Member) {
        self.join_requests
            .retain(|_, (other, _)| other.node == member.node || other.addr != member.addr);
        self.join_requests.insert(member.node, (member, now));
    }

    /// Replicas with a current request to join.
    pub fn join_requests(&self) -> Vec<Member> {
        let join_requests = self.join_requests.values();
        join_requests.map(|(member, _)| member.clone()).collect()
    }

    /// Records whether a voter answered a check. Returns the time for which it
    /// has been silent; `None` if it answered.
    pub fn record_voter_check(
        &mut self,
        now: Time,
        node: NodeId,
        reachable: bool,
    ) -> Option<Duration> {
        if reachable {
            self.silent_voters.shift_remove(&node);
            return None;
        }
        let since = *self.silent_voters.entry(node).or_insert(now);
        Some(now.since(since))
    }

    /// Records an announcement of a store host and returns the current store map,
    /// unless the host has this version.
    pub fn record_store_announcement(
        &mut self,
        now: Time,
        announcement: StoreAnnouncement,
        known: u64,
    ) -> Option<StoreMap> {
        self.store_planner.record_announcement(now, announcement);
        let stores = &self.state.stores;
        (stores.version != known).then(|| stores.clone())
    }
}

/// Whether `changes` has no content.
fn is_empty(changes: &Changes) -> bool {
    !changes.reset
        && changes.full.is_empty()
        && changes.loads.is_empty()
        && changes.removed.is_empty()
}
