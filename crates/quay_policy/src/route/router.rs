//! Routing state of one entry.

use {
    super::{
        PER_MILLE,
        conversations::{Conversations, LastCall},
        load::LoadEstimate,
        prefix_index::MAX_SLOTS,
        rating::{PeerRating, typical},
    },
    crate::{PrefixIndex, RouteSettings, Score, Slot, UpstreamView},
    indexmap::IndexMap,
    quay_types::{
        Announcement, CallTarget, Incarnation, ProgramId, Time, Tokens, UpstreamId, UpstreamKind,
        UpstreamState,
    },
    std::{marker::PhantomData, net::SocketAddr, time::Duration},
};

/// Tokens in a block of a prompt.
const BLOCK_TOKENS: u64 = 64;

/// A call that needs an upstream.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// What is to be run.
    pub target: CallTarget,
    /// Program of the call.
    pub program: ProgramId,
    /// Whether the program may have made calls before, so that its home may
    /// hold its history.
    pub has_history: bool,
    /// The lines of calls that this one goes on from, nearest first: its own
    /// line, and the one that this branched off from.
    pub conversations: &'a [u64],
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Chained hashes of the prompt's blocks.
    pub blocks: &'a [u64],
    /// Upstreams that refused or lost the call already.
    pub tried: &'a [UpstreamId],
}

/// An upstream chosen for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteChoice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Run of its sidecar.
    pub incarnation: Incarnation,
    /// Address of its sidecar.
    pub addr: SocketAddr,
    /// Leading blocks of the prompt that the book believes it to hold.
    pub cached_blocks: u32,
}

/// One known upstream.
#[derive(Debug)]
struct Upstream {
    announcement: Announcement,
    load: LoadEstimate,
    rating: PeerRating,
    heard: Time,
    slot: Slot,
    remote: bool,
}

/// Routing state of one entry, for upstreams rated by `S`.
#[derive(Debug)]
pub struct Router<S> {
    cfg: RouteSettings,
    data_centre: Box<str>,
    upstreams: IndexMap<UpstreamId, Upstream>,
    /// Slots of upstreams that have gone, ready for others.
    free_slots: Vec<Slot>,
    used_slots: u16,
    index: PrefixIndex,
    conversations: Conversations,
    /// Blocks held by each slot for the call at hand.
    depths: Vec<u32>,
    /// Upstreams that serve the call at hand.
    fitting: Vec<usize>,
    /// Costs of the upstreams that fit the call at hand.
    costs: Vec<(u64, usize)>,
    /// Mean times of the upstreams that serve the call at hand.
    means: Vec<Duration>,
    score: PhantomData<S>,
}

impl<S: Score> Router<S> {
    /// A router in a data centre that knows no upstreams yet.
    #[must_use]
    pub fn new(cfg: RouteSettings, data_centre: impl Into<Box<str>>) -> Self {
        Self {
            data_centre: data_centre.into(),
            upstreams: IndexMap::new(),
            free_slots: Vec::new(),
            used_slots: 0,
            index: PrefixIndex::new(cfg.max_index_blocks),
            conversations: Conversations::new(cfg.max_conversations),
            depths: Vec::new(),
            fitting: Vec::new(),
            costs: Vec::new(),
            means: Vec::new(),
            score: PhantomData,
            cfg,
        }
    }

    /// The cache book, and the place of an upstream in it.
    pub fn prefix_index(&mut self, id: UpstreamId) -> Option<(&mut PrefixIndex, Slot)> {
        let slot = self.upstreams.get(&id)?.slot;
        Some((&mut self.index, slot))
    }

    /// Upstreams that are known.
    pub fn upstream_ids(&self) -> impl Iterator<Item = UpstreamId> {
        self.upstreams.keys().copied()
    }

    /// Where the sidecar of an upstream is; nothing is known of its cache.
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
    // What is learned

    /// Takes an announcement that was made at `made`; an older one is ignored.
    pub fn apply_announcement(&mut self, made: Time, announcement: &Announcement) {
        let id = announcement.upstream();
        let remote = announcement.data_centre != self.data_centre;
        let age = Duration::from_millis(announcement.load.age_ms.into());
        if let Some(known) = self.upstreams.get_mut(&id) {
            let order = |of: &Announcement| (of.incarnation, of.sequence);
            if order(announcement) < order(&known.announcement) {
                return;
            }
            if known.announcement.incarnation != announcement.incarnation {
                known.load = LoadEstimate::default();
                known.rating = PeerRating::default();
                self.index.clear_slot(known.slot);
            }
            known.load.report(made - age, announcement.load);
            known.announcement = announcement.clone();
            known.heard = made;
            known.remote = remote;
            return;
        }
        // More upstreams than slots: the rest stay unknown to this entry.
        let Some(slot) = self.take_slot() else { return };
        let mut load = LoadEstimate::default();
        load.report(made - age, announcement.load);
        let upstream = Upstream {
            announcement: announcement.clone(),
            load,
            rating: PeerRating::default(),
            heard: made,
            slot,
            remote,
        };
        self.upstreams.insert(id, upstream);
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.shift_remove(&id) {
            self.index.clear_slot(upstream.slot);
            self.free_slots.push(upstream.slot);
        }
    }

    /// Forgets every upstream that is not listed.
    pub fn retain_only(&mut self, listed: &[UpstreamId]) {
        let gone: Vec<_> = self
            .upstream_ids()
            .filter(|id| !listed.contains(id))
            .collect();
        for id in gone {
            self.remove(id);
        }
    }

    /// Notes that a call sent to an upstream has ended there.
    pub fn record_end(&mut self, now: Time, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.load.ended(now);
        }
    }

    /// Notes that a call ended well, and how long a unit of its work took.
    pub fn record_success(&mut self, now: Time, id: UpstreamId, took: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.rating.served(&self.cfg, now, took);
        }
    }

    /// Notes that an upstream lost or spoilt a call.
    pub fn record_failure(&mut self, now: Time, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.rating.failed(now);
        }
    }

    /// Notes how many leading blocks an upstream found, against those expected.
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
    // What is decided

    /// Chooses an upstream for a call and notes the call as sent to it.
    ///
    /// `draw` is a random number; it spreads calls over upstreams that are
    /// equally good, so that entries with the same reports do not all choose
    /// the same one.
    pub fn pick(&mut self, now: Time, req: &RouteRequest<'_>, draw: u64) -> Option<RouteChoice> {
        let slots = usize::from(self.used_slots);
        if S::USES_PREFIX_INDEX && self.cfg.prefix_weight > 0 {
            self.index.lookup(req.blocks, &mut self.depths, slots);
        } else {
            self.depths.clear();
            self.depths.resize(slots, 0);
        }
        self.rate(now, req, false);
        if self.costs.is_empty() {
            self.rate(now, req, true);
        }
        let best = self.costs.iter().map(|(cost, _)| *cost).min()?;
        let spread = u64::try_from(self.cfg.spread.as_micros()).unwrap_or(u64::MAX);
        let good = |(cost, _): &&(u64, usize)| *cost <= best.saturating_add(spread);
        let count = self.costs.iter().filter(good).count() as u64;
        let nth = usize::try_from(draw % count.max(1)).unwrap_or_default();
        let at = self.costs.iter().filter(good).nth(nth)?.1;
        self.send(now, req, at)
    }

    /// Rates every upstream that fits; the silent ones only as a last resort.
    fn rate(&mut self, now: Time, req: &RouteRequest<'_>, last_resort: bool) {
        self.costs.clear();
        self.fitting.clear();
        let fitting = self.upstreams.values().zip(0..);
        let fitting = fitting.filter(|(upstream, _)| fits(&upstream.announcement, req.target));
        self.fitting.extend(fitting.map(|(_, at)| at));
        let typical = self.typical();
        let ran = self.ran(req);
        let home = ran.is_none().then(|| self.home(req)).flatten();
        for at in self.fitting.iter().copied() {
            let Some((id, upstream)) = self.upstreams.get_index(at) else {
                continue;
            };
            if req.tried.contains(id) {
                continue;
            }
            let silent = now.since(upstream.heard) > self.cfg.silent_after;
            if silent != last_resort {
                continue;
            }
            let depth = self.depths[usize::from(upstream.slot.0)];
            let trusted = match ran {
                Some((runner, blocks)) if runner == *id => blocks.min(req.blocks.len()) as u64,
                None if home == Some(*id) => {
                    req.blocks.len() as u64 * self.cfg.home_weight / PER_MILLE
                }
                _ => 0,
            };
            let held = u64::from(depth).max(trusted) * BLOCK_TOKENS;
            let view = UpstreamView {
                load: upstream.load.load(self.cfg.correct_load),
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

    /// Time that a call takes at the better of the upstreams that fit.
    fn typical(&mut self) -> Option<Duration> {
        self.means.clear();
        for at in &self.fitting {
            let known = self.upstreams.get_index(*at);
            self.means
                .extend(known.and_then(|(_, it)| it.rating.mean()));
        }
        typical(&mut self.means)
    }

    /// The upstream to which this entry sent the last call of a line, and the
    /// blocks of that call's prompt.
    fn ran(&self, req: &RouteRequest<'_>) -> Option<(UpstreamId, usize)> {
        req.conversations.iter().find_map(|line| {
            let run = self.conversations.get(*line)?;
            let known = self.upstreams.get(&run.upstream)?;
            let same = known.announcement.incarnation == run.incarnation;
            same.then_some((run.upstream, run.blocks))
        })
    }

    /// The upstream that every entry agrees on for a program under way, by
    /// rendezvous hashing: entries share no state, and a program's calls come
    /// through any of them.
    fn home(&self, req: &RouteRequest<'_>) -> Option<UpstreamId> {
        if !S::USES_PREFIX_INDEX || self.cfg.home_weight == 0 || !req.has_history {
            return None;
        }
        let program = mix(req.program.root);
        let ids = self
            .fitting
            .iter()
            .filter_map(|at| self.upstreams.get_index(*at));
        ids.map(|(id, _)| *id).max_by_key(|id| mix(id.0 ^ program))
    }

    /// Notes the call as sent to the upstream at `at`.
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
        if S::USES_PREFIX_INDEX {
            self.index.record_sent(upstream.slot, req.blocks);
            if let Some(line) = req.conversations.first() {
                let run = LastCall {
                    upstream: choice.upstream,
                    incarnation: choice.incarnation,
                    blocks: req.blocks.len(),
                };
                self.conversations.put(*line, run);
            }
        }
        Some(choice)
    }
}

/// Whether an upstream serves `target` and takes new work.
fn fits(announcement: &Announcement, target: CallTarget) -> bool {
    let serves = match (&announcement.kind, target) {
        (UpstreamKind::Engine { models }, CallTarget::Model(model)) => models.contains(&model),
        (UpstreamKind::Service { service }, CallTarget::Service(wanted)) => *service == wanted,
        _ => false,
    };
    serves && announcement.state == UpstreamState::Serving
}

/// The finaliser of splitmix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
