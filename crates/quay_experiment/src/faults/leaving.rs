//! Leaving upstreams: no new work a few seconds after an operator's mark.

use {
    crate::faults::{
        Decisions, Promise, Score, Trial,
        chance::{chance, draw, draw_ms, draw_slot},
    },
    indexmap::IndexMap,
    quay_config::{
        Action, ChangeId, ConfigAnswer, ConfigCommand, ConfigQuery, ConfigStore, MinConfigIndex,
        Origin, Subscriber,
    },
    quay_quorum::StateMachine as _,
    quay_types::{ConfigIndex, Epoch, LogIndex, Time},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// The document of a new group.
const DOCUMENT: &str = "[platform.owners]\nplatform = [\"root\"]\n[platform.models.m]\n";

/// Upstreams, each with a sidecar.
const UPSTREAMS: usize = 4;

/// Entries.
const ENTRIES: usize = 3;

/// Interval of a daemon's polls.
const POLL_EVERY: Duration = Duration::from_secs(1);

/// Grace of an old configuration.
const GRACE: Duration = Duration::from_secs(2);

/// Longest time that a permit is on its way, in milliseconds.
const LONGEST_DELIVERY_MS: u64 = 2_000;

/// No new work is admitted this long after the mark.
const LEAVE_LIMIT: Duration = Duration::from_secs(5);

/// A daemon that follows the configuration, or is cut off from it.
struct Daemon {
    subscriber: Subscriber,
    next_poll: Time,
    cut_until: Time,
}

/// A permit on its way to a sidecar.
struct Delivery {
    due: Time,
    upstream: usize,
}

/// The marks, a ledger that refuses old entries, entries and sidecars.
pub struct LeavingWorld {
    now: Time,
    mutated: bool,
    store: ConfigStore,
    index: u64,
    floor: MinConfigIndex,
    entries: Vec<Daemon>,
    sidecars: Vec<Daemon>,
    /// Upstreams that are marked, since when.
    marked: IndexMap<usize, Time>,
    deliveries: Vec<Delivery>,
}

/// Name of an upstream.
fn name(upstream: usize) -> Box<str> {
    format!("engine-{upstream}").into()
}

impl Trial for LeavingWorld {
    fn new(_: Promise, decisions: Decisions, _: &mut ChaCha8Rng) -> Self {
        let daemon = || Daemon {
            subscriber: Subscriber::default(),
            next_poll: Time::ZERO,
            cut_until: Time::ZERO,
        };
        let mut world = Self {
            now: Time::from_millis(1),
            mutated: decisions == Decisions::Mutated,
            store: ConfigStore::default(),
            index: 0,
            floor: MinConfigIndex::new(GRACE),
            entries: (0..ENTRIES).map(|_| daemon()).collect(),
            sidecars: (0..UPSTREAMS).map(|_| daemon()).collect(),
            marked: IndexMap::new(),
            deliveries: Vec::new(),
        };
        world.order(
            "ledger-1",
            Origin::Process,
            Action::Bootstrap(DOCUMENT.into()),
        );
        world
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.now = self.now + draw_ms(rng, 50);
        self.operator(rng);
        if chance(rng, 10) {
            score.fault();
            let cut_until = self.now + draw_ms(rng, 60_000);
            let slot = draw_slot(rng, ENTRIES + UPSTREAMS);
            let mut daemons = self.entries.iter_mut().chain(&mut self.sidecars);
            if let Some(daemon) = daemons.nth(slot) {
                daemon.cut_until = cut_until;
            }
        }
        self.poll();
        if chance(rng, 500) {
            self.begin(rng);
        }
        self.deliver(score);
    }

    fn settle(&mut self, _: &mut ChaCha8Rng, score: &mut Score) {
        // In small steps, so that each permit arrives when it is due.
        for _ in 0..LONGEST_DELIVERY_MS / 50 {
            self.now = self.now + Duration::from_millis(50);
            self.deliver(score);
        }
    }
}

impl LeavingWorld {
    /// Commits an order; the ledger learns of the index at once.
    fn order(&mut self, author: &str, origin: Origin, action: Action) {
        self.index += 1;
        let order = ConfigCommand {
            id: ChangeId(self.index.to_string().into()),
            author: author.into(),
            origin,
            cause: "trial".into(),
            time_ms: self.now.as_millis(),
            action,
        };
        if let Ok(accepted) = self.store.apply(LogIndex(self.index), Epoch(1), order) {
            self.floor.observe(self.now, accepted.index);
        }
    }

    /// An operator marks an upstream to leave, or lets it stay after all.
    fn operator(&mut self, rng: &mut ChaCha8Rng) {
        if !chance(rng, 10) {
            return;
        }
        let upstream = draw_slot(rng, UPSTREAMS);
        if self.marked.swap_remove(&upstream).is_some() {
            self.order("root", Origin::Operator, Action::Undrain(name(upstream)));
        } else {
            self.order("root", Origin::Operator, Action::Drain(name(upstream)));
            self.marked.insert(upstream, self.now);
        }
    }

    /// Daemons that are not cut off follow the configuration.
    fn poll(&mut self) {
        let now = self.now;
        for daemon in self.entries.iter_mut().chain(&mut self.sidecars) {
            if now < daemon.next_poll || now < daemon.cut_until {
                continue;
            }
            daemon.next_poll = now + POLL_EVERY;
            let query = ConfigQuery::Poll(daemon.subscriber.poll());
            if let ConfigAnswer::Update(update) = self.store.query(&query) {
                daemon.subscriber.receive(update, true);
            }
        }
    }

    /// An entry asks the ledger for a permit on an upstream that it knows of no
    /// mark for.
    fn begin(&mut self, rng: &mut ChaCha8Rng) {
        let entry = &self.entries[draw_slot(rng, ENTRIES)];
        let image = entry.subscriber.image();
        let upstream = draw_slot(rng, UPSTREAMS);
        if image.index == ConfigIndex(0) || image.drained.contains_key(&name(upstream)) {
            return;
        }
        let index = image.index;
        if self.mutated || self.floor.check(self.now, index).is_ok() {
            let due = self.now + Duration::from_millis(draw(rng, LONGEST_DELIVERY_MS));
            self.deliveries.push(Delivery { due, upstream });
        }
    }

    /// Sidecars admit work unless they know of a mark.
    fn deliver(&mut self, score: &mut Score) {
        let now = self.now;
        let due: Vec<_> = self.deliveries.extract_if(.., |it| it.due <= now).collect();
        for Delivery { upstream, .. } in due {
            let image = self.sidecars[upstream].subscriber.image();
            if image.drained.contains_key(&name(upstream)) {
                continue;
            }
            let since = self.marked.get(&upstream);
            let left = since.is_none_or(|since| now.since(*since) < LEAVE_LIMIT);
            score.test(left, || {
                format!("{} took new work long after its mark", name(upstream))
            });
        }
    }
}
