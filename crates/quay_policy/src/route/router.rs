//! Selects upstreams for the calls of one entry.

use {
    super::{
        PER_MILLE,
        beginnings::Beginnings,
        conversations::{Conversations, LastCall},
        load::LoadEstimate,
        prefix_index::MAX_SLOTS,
        rating::{PeerRating, typical},
    },
    crate::{PrefixIndex, PromptBeginning, RouteSettings, Score, Slot, UpstreamView},
    indexmap::IndexMap,
    quay_types::{
        Announcement, CallTarget, Incarnation, ProgramId, Time, Tokens, UpstreamId, UpstreamKind,
        UpstreamState,
    },
    std::{marker::PhantomData, net::SocketAddr, time::Duration},
};

/// Tokens per prompt block.
const BLOCK_TOKENS: u64 = 64;

/// A call to be routed.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Model or service that is called.
    pub target: CallTarget,
    /// Program of the call.
    pub program: ProgramId,
    /// Whether the program may have made calls before, in which case its home
    /// upstream may hold its history.
    pub has_history: bool,
    /// Conversations that the call continues, nearest first: its own, and the
    /// one that its own branched off from.
    pub conversations: &'a [u64],
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Chained hashes of the prompt's blocks.
    pub blocks: &'a [u64],
    /// Beginning of the prompt that other prompts share, if there is one and the size
    /// of the upstreams' memory is known.
    pub beginning: Option<PromptBeginning>,
    /// Upstreams that have already refused or lost the call.
    pub tried: &'a [UpstreamId],
}

/// Upstream selected for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteChoice {
    /// Identifier of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream's sidecar.
    pub incarnation: Incarnation,
    /// Address of the upstream's sidecar.
    pub addr: SocketAddr,
    /// Number of leading prompt blocks that the prefix index expects the
    /// upstream to hold.
    pub cached_blocks: u32,
}

/// State of one upstream.
#[derive(Debug)]
struct Upstream {
    announcement: Announcement,
    load: LoadEstimate,
    rating: PeerRating,
    last_heard: Time,
    slot: Slot,
    remote: bool,
}

/// Routing state of one entry, with `S` as the cost function.
#[derive(Debug)]
pub struct Router<S> {
    cfg: RouteSettings,
    data_centre: Box<str>,
    upstreams: IndexMap<UpstreamId, Upstream>,
    /// Slots of removed upstreams, available for reuse.
    free_slots: Vec<Slot>,
    used_slots: u16,
    index: PrefixIndex,
    conversations: Conversations,
    beginnings: Beginnings,
    /// Blocks held by each slot for the current call.
    depths: Vec<u32>,
    /// Upstreams eligible for the current call, by position.
    eligible: Vec<usize>,
    /// Costs of the upstreams considered for the current call, by position.
    costs: Vec<(u64, usize)>,
    /// Mean call durations of the upstreams eligible for the current call.
    means: Vec<Duration>,
    score: PhantomData<S>,
}

impl<S: Score> Router<S> {
    /// Creates a router for an entry in `data_centre`, without upstreams.
    #[must_use]
    pub fn new(cfg: RouteSettings, data_centre: impl Into<Box<str>>) -> Self {
        Self {
            data_centre: data_centre.into(),
            upstreams: IndexMap::new(),
            free_slots: Vec::new(),
            used_slots: 0,
            index: PrefixIndex::new(cfg.max_index_blocks),
            conversations: Conversations::new(cfg.max_conversations),
            beginnings: Beginnings::default(),
            depths: Vec::new(),
            eligible: Vec::new(),
            costs: Vec::new(),
            means: Vec::new(),
            score: PhantomData,
            cfg,
        }
    }

    /// Returns the prefix index and an upstream's slot in it.
    pub fn prefix_index(&mut self, id: UpstreamId) -> Option<(&mut PrefixIndex, Slot)> {
        let slot = self.upstreams.get(&id)?.slot;
        Some((&mut self.index, slot))
    }

    /// Returns the ids of all known upstreams.
    pub fn upstream_ids(&self) -> impl Iterator<Item = UpstreamId> {
        self.upstreams.keys().copied()
    }

    /// Returns the address of an upstream's sidecar, with no cached blocks.
    #[must_use]
    pub fn find(&self, id: UpstreamId) -> Option<RouteChoice> {
        let announcement = &self.upstreams.get(&id)?.announcement;
        Some(RouteChoice {
            upstream: id,
            incarnation: announcement.incarnation,
            addr: announcement.addr,
            cached_blocks: 0,
        })
    }

    // -----------------------------------------------------------------------
    // Updates

    /// Applies an announcement made at `made`; one older than the last is
    /// ignored.
    pub fn apply_announcement(&mut self, made: Time, announcement: &Announcement) {
        let id = announcement.upstream();
        let remote = announcement.data_centre != self.data_centre;
        let age = Duration::from_millis(announcement.load.age_ms.into());
        if let Some(known) = self.upstreams.get_mut(&id) {
            let version = |of: &Announcement| (of.incarnation, of.sequence);
            if version(announcement) < version(&known.announcement) {
                return;
            }
            if known.announcement.incarnation != announcement.incarnation {
                known.load = LoadEstimate::default();
                known.rating = PeerRating::default();
                self.index.clear_slot(known.slot);
            }
            known.load.report(made - age, announcement.load);
            known.announcement = announcement.clone();
            known.last_heard = made;
            known.remote = remote;
            return;
        }
        // Upstreams in excess of the slots are ignored by this entry.
        let Some(slot) = self.take_slot() else { return };
        let mut load = LoadEstimate::default();
        load.report(made - age, announcement.load);
        let upstream = Upstream {
            announcement: announcement.clone(),
            load,
            rating: PeerRating::default(),
            last_heard: made,
            slot,
            remote,
        };
        self.upstreams.insert(id, upstream);
    }

    /// Discards an upstream's load report, after which only the number of this
    /// entry's own calls in flight there is known.
    pub fn expire_load(&mut self, now: Time, id: UpstreamId, in_flight: u32) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.load.expire(now, in_flight);
        }
    }

    /// Removes an upstream.
    pub fn remove(&mut self, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.shift_remove(&id) {
            self.index.clear_slot(upstream.slot);
            self.free_slots.push(upstream.slot);
        }
    }

    /// Removes all upstreams that are not listed.
    pub fn retain_only(&mut self, listed: &[UpstreamId]) {
        let unlisted: Vec<_> = self
            .upstream_ids()
            .filter(|id| !listed.contains(id))
            .collect();
        for id in unlisted {
            self.remove(id);
        }
    }

    /// Records that a call sent to an upstream has ended there.
    pub fn record_end(&mut self, now: Time, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.load.ended(now);
        }
    }

    /// Records a successful call and the duration per unit of its work.
    pub fn record_success(&mut self, now: Time, id: UpstreamId, took: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.rating.succeeded(&self.cfg, now, took);
        }
    }

    /// Records that an upstream lost or corrupted a call.
    pub fn record_failure(&mut self, now: Time, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.rating.failed(now);
        }
    }

    /// Records how many leading blocks an upstream held, compared with the
    /// expected number.
    pub fn record_cached(&mut self, id: UpstreamId, blocks: &[u64], held: u32, expected: u32) {
        if held >= expected {
            return;
        }
        if let Some((index, slot)) = self.prefix_index(id) {
            index.record_miss(slot, blocks, held as usize, expected as usize);
        }
    }

    fn take_slot(&mut self) -> Option<Slot> {
        if let Some(slot) = self.free_slots.pop() {
            return Some(slot);
        }
        let slot = Slot(self.used_slots);
        (usize::from(slot.0) < MAX_SLOTS).then(|| {
            self.used_slots += 1;
            slot
        })
    }

    // -----------------------------------------------------------------------
    // Selection

    /// Selects an upstream for a call and records the call as sent to it.
    ///
    /// `draw` is a random number that spreads calls over equally good
    /// upstreams, so that entries with the same load reports do not all select
    /// the same one.
    pub fn pick(&mut self, now: Time, req: &RouteRequest<'_>, draw: u64) -> Option<RouteChoice> {
        let slots = usize::from(self.used_slots);
        if S::USES_PREFIX_INDEX && self.cfg.prefix_weight > 0 && self.cfg.max_index_blocks > 0 {
            self.index.lookup(req.blocks, &mut self.depths, slots);
        } else {
            self.depths.clear();
            self.depths.resize(slots, 0);
        }
        self.compute_costs(now, req, false);
        if self.costs.is_empty() {
            self.compute_costs(now, req, true);
        }
        let best = self.costs.iter().map(|(cost, _)| *cost).min()?;
        let spread = u64::try_from(self.cfg.spread.as_micros()).unwrap_or(u64::MAX);
        let good = |(cost, _): &&(u64, usize)| *cost <= best.saturating_add(spread);
        let count = self.costs.iter().filter(good).count() as u64;
        let nth = usize::try_from(draw % count.max(1)).unwrap_or_default();
        let at = self.costs.iter().filter(good).nth(nth)?.1;
        self.send(now, req, at)
    }

    /// Computes the cost of each eligible upstream that has sent announcements
    /// recently, or with `last_resort` of each one that has not.
    fn compute_costs(&mut self, now: Time, req: &RouteRequest<'_>, last_resort: bool) {
        self.costs.clear();
        self.eligible.clear();
        let eligible = self.upstreams.values().zip(0..);
        let eligible =
            eligible.filter(|(upstream, _)| is_eligible(&upstream.announcement, req.target));
        self.eligible.extend(eligible.map(|(_, at)| at));
        let typical = self.typical();
        let typical_calls = self.typical_calls();
        let previous = self.previous_upstream(req);
        let home = previous.is_none().then(|| self.home(req)).flatten();
        for at in self.eligible.iter().copied() {
            let Some((id, upstream)) = self.upstreams.get_index(at) else {
                continue;
            };
            if req.tried.contains(id) {
                continue;
            }
            let silent = now.since(upstream.last_heard) > self.cfg.silent_after;
            if silent != last_resort {
                continue;
            }
            let depth = self.depths[usize::from(upstream.slot.0)];
            let trusted = match previous {
                Some((runner, blocks)) if runner == *id => blocks.min(req.blocks.len()) as u64,
                None if home == Some(*id) => {
                    req.blocks.len() as u64 * self.cfg.home_weight / PER_MILLE
                }
                _ => 0,
            };
            let held = u64::from(depth).max(trusted) * BLOCK_TOKENS;
            let view = UpstreamView {
                load: upstream.load.load(self.cfg.correct_load, typical_calls),
                stale: upstream
                    .load
                    .age(now)
                    .is_none_or(|age| age > self.cfg.stale_after),
                remote: upstream.remote,
                uncached_tokens: req.prompt.0.saturating_sub(held),
                slowdown: upstream.rating.factor(&self.cfg, now, typical),
            };
            self.costs.push((S::cost(&self.cfg, &view), at));
        }
    }

    /// First quartile of the call durations at the eligible upstreams.
    fn typical(&mut self) -> Option<Duration> {
        self.means.clear();
        for at in &self.eligible {
            let known = self.upstreams.get_index(*at);
            self.means
                .extend(known.and_then(|(_, upstream)| upstream.rating.mean()));
        }
        typical(&mut self.means)
    }

    /// Mean number of calls at the eligible upstreams whose reports are current.
    fn typical_calls(&self) -> u32 {
        let eligible = self.eligible.iter();
        let upstreams = eligible.filter_map(|at| self.upstreams.get_index(*at));
        let reported = upstreams.filter_map(|(_, upstream)| upstream.load.reported_calls());
        let (sum, count) = reported.fold((0, 0), |(sum, count), calls| (sum + calls, count + 1));
        sum / count.max(1)
    }

    /// Returns the upstream to which this entry sent the latest call of a
    /// conversation, and the number of blocks in that call's prompt.
    fn previous_upstream(&self, req: &RouteRequest<'_>) -> Option<(UpstreamId, usize)> {
        req.conversations.iter().find_map(|conversation| {
            let call = self.conversations.get(*conversation)?;
            let known = self.upstreams.get(&call.upstream)?;
            let same = known.announcement.incarnation == call.incarnation;
            same.then_some((call.upstream, call.blocks))
        })
    }

    /// Returns the home upstream of a program that has made calls before.
    ///
    /// All entries compute the same home by rendezvous hashing, because entries
    /// share no state and any of them may receive a program's calls.
    fn home(&self, req: &RouteRequest<'_>) -> Option<UpstreamId> {
        let applies = req.has_history || self.cfg.begin_at_home;
        if !S::USES_PREFIX_INDEX || self.cfg.home_weight == 0 || !applies {
            return None;
        }
        let program = mix(req.program.root);
        let ids = self
            .eligible
            .iter()
            .filter_map(|at| self.upstreams.get_index(*at));
        let mut ids: Vec<UpstreamId> = ids.map(|(id, _)| *id).collect();
        if let Some(beginning) = &req.beginning {
            let count = self.beginnings.homes(beginning, ids.len());
            if (1..ids.len()).contains(&count) {
                ids.select_nth_unstable_by_key(count - 1, |id| mix(id.0 ^ beginning.id));
                ids.truncate(count);
            }
        }
        ids.into_iter().max_by_key(|id| mix(id.0 ^ program))
    }

    /// Records the call as sent to the upstream at position `at`.
    fn send(&mut self, now: Time, req: &RouteRequest<'_>, at: usize) -> Option<RouteChoice> {
        let (id, upstream) = self.upstreams.get_index_mut(at)?;
        let held = self.depths[usize::from(upstream.slot.0)];
        let missing = req.prompt.0.saturating_sub(u64::from(held) * BLOCK_TOKENS);
        upstream.load.sent(now, missing);
        upstream.rating.sent(now);
        let choice = RouteChoice {
            upstream: *id,
            incarnation: upstream.announcement.incarnation,
            addr: upstream.announcement.addr,
            cached_blocks: held,
        };
        if let Some(beginning) = &req.beginning
            && self.cfg.beginnings_share > 0
        {
            let share = self.cfg.beginnings_share;
            self.beginnings.record(beginning, share);
        }
        if S::USES_PREFIX_INDEX {
            self.index.record_sent(upstream.slot, req.blocks);
            if let Some(conversation) = req.conversations.first() {
                let call = LastCall {
                    upstream: choice.upstream,
                    incarnation: choice.incarnation,
                    blocks: req.blocks.len(),
                };
                self.conversations.put(*conversation, call);
            }
        }
        Some(choice)
    }
}

/// Whether an upstream serves `target` and accepts new calls.
fn is_eligible(announcement: &Announcement, target: CallTarget) -> bool {
    let serves = match (&announcement.kind, target) {
        (UpstreamKind::Engine { models }, CallTarget::Model(model)) => models.contains(&model),
        (kind, CallTarget::Service(wanted)) => kind.service() == Some(wanted),
        _ => false,
    };
    serves && announcement.state == UpstreamState::Serving
}

/// Finaliser of the splitmix64 generator.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
