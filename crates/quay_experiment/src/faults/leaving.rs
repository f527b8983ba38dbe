//! Trial for draining upstreams: no new work is admitted a few seconds after an
//! operator drains an upstream.

use {
    crate::faults::{
        Decisions, Promise, Score, Trial,
        random::{chance, draw, draw_ms, draw_slot},
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

/// Initial configuration document of the control group.
const DOCUMENT: &str = "[platform.owners]\nplatform = [\"root\"]\n[platform.models.m]\n";

/// Number of upstreams, each with a sidecar.
const UPSTREAMS: usize = 4;

/// Number of entries.
const ENTRIES: usize = 3;

/// Interval between configuration polls of a daemon.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Grace period during which the ledger still accepts an older configuration.
const CONFIG_GRACE: Duration = Duration::from_secs(2);

/// Maximum delivery delay of a permit, in milliseconds.
const MAX_DELIVERY_MS: u64 = 2_000;

/// Time after a drain command from which sidecars must admit no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// A daemon that polls the configuration unless it is partitioned from the
/// control group.
struct Daemon {
    subscriber: Subscriber,
    next_poll: Time,
    unreachable_until: Time,
}

/// A permit in flight to a sidecar.
struct Delivery {
    due: Time,
    upstream: usize,
}

/// A configuration store, entries, sidecars, and a ledger that refuses entries
/// whose configuration is too old.
pub struct LeavingWorld {
    now: Time,
    mutated: bool,
    store: ConfigStore,
    index: u64,
    min_index: MinConfigIndex,
    entries: Vec<Daemon>,
    sidecars: Vec<Daemon>,
    /// Draining upstreams and the time at which each was drained.
    draining_since: IndexMap<usize, Time>,
    deliveries: Vec<Delivery>,
}

/// Returns the name of an upstream.
fn upstream_name(upstream: usize) -> Box<str> {
    format!("engine-{upstream}").into()
}

impl Trial for LeavingWorld {
    fn new(_: Promise, decisions: Decisions, _: &mut ChaCha8Rng) -> Self {
        let daemon = || Daemon {
            subscriber: Subscriber::default(),
            next_poll: Time::ZERO,
            unreachable_until: Time::ZERO,
        };
        let mut world = Self {
            now: Time::from_millis(1),
            mutated: decisions == Decisions::Mutated,
            store: ConfigStore::default(),
            index: 0,
            min_index: MinConfigIndex::new(CONFIG_GRACE),
            entries: (0..ENTRIES).map(|_| daemon()).collect(),
            sidecars: (0..UPSTREAMS).map(|_| daemon()).collect(),
            draining_since: IndexMap::new(),
            deliveries: Vec::new(),
        };
        world.commit(
            "ledger-1",
            Origin::Process,
            Action::Bootstrap(DOCUMENT.into()),
        );
        world
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.now = self.now + draw_ms(rng, 50);
        self.toggle_drain(rng);
        if chance(rng, 10) {
            score.record_fault();
            let unreachable_until = self.now + draw_ms(rng, 60_000);
            let slot = draw_slot(rng, ENTRIES + UPSTREAMS);
            let mut daemons = self.entries.iter_mut().chain(&mut self.sidecars);
            if let Some(daemon) = daemons.nth(slot) {
                daemon.unreachable_until = unreachable_until;
            }
        }
        self.poll();
        if chance(rng, 500) {
            self.request_permit(rng);
        }
        self.deliver_permits(score);
    }

    fn settle(&mut self, _: &mut ChaCha8Rng, score: &mut Score) {
        // Advances in small steps, so that each permit is delivered when it is
        // due.
        for _ in 0..MAX_DELIVERY_MS / 50 {
            self.now = self.now + Duration::from_millis(50);
            self.deliver_permits(score);
        }
    }
}

impl LeavingWorld {
    /// Commits a configuration command; the ledger learns the new index at
    /// once.
    fn commit(&mut self, author: &str, origin: Origin, action: Action) {
        self.index += 1;
        let command = ConfigCommand {
            id: ChangeId(self.index.to_string().into()),
            author: author.into(),
            origin,
            cause: "trial".into(),
            time_ms: self.now.as_millis(),
            action,
        };
        if let Ok(accepted) = self.store.apply(LogIndex(self.index), Epoch(1), command) {
            self.min_index.observe(self.now, accepted.index);
        }
    }

    /// Occasionally drains a random upstream, or undrains it if it is draining.
    fn toggle_drain(&mut self, rng: &mut ChaCha8Rng) {
        if !chance(rng, 10) {
            return;
        }
        let upstream = draw_slot(rng, UPSTREAMS);
        if self.draining_since.swap_remove(&upstream).is_some() {
            self.commit(
                "root",
                Origin::Operator,
                Action::Undrain(upstream_name(upstream)),
            );
        } else {
            self.commit(
                "root",
                Origin::Operator,
                Action::Drain(upstream_name(upstream)),
            );
            self.draining_since.insert(upstream, self.now);
        }
    }

    /// Polls the configuration for each daemon that is due and not partitioned.
    fn poll(&mut self) {
        let now = self.now;
        for daemon in self.entries.iter_mut().chain(&mut self.sidecars) {
            if now < daemon.next_poll || now < daemon.unreachable_until {
                continue;
            }
            daemon.next_poll = now + POLL_INTERVAL;
            let query = ConfigQuery::Poll(daemon.subscriber.poll());
            if let ConfigAnswer::Update(update) = self.store.query(&query) {
                daemon.subscriber.receive(update, true);
            }
        }
    }

    /// Requests a permit from the ledger for an upstream that the entry does
    /// not know to be draining.
    fn request_permit(&mut self, rng: &mut ChaCha8Rng) {
        let entry = &self.entries[draw_slot(rng, ENTRIES)];
        let image = entry.subscriber.image();
        let upstream = draw_slot(rng, UPSTREAMS);
        if image.index == ConfigIndex(0) || image.drained.contains_key(&upstream_name(upstream)) {
            return;
        }
        let index = image.index;
        if self.mutated || self.min_index.check(self.now, index).is_ok() {
            let due = self.now + Duration::from_millis(draw(rng, MAX_DELIVERY_MS));
            self.deliveries.push(Delivery { due, upstream });
        }
    }

    /// Delivers due permits; a sidecar admits the work unless it knows that its
    /// upstream is draining.
    fn deliver_permits(&mut self, score: &mut Score) {
        let now = self.now;
        let due: Vec<_> = self.deliveries.extract_if(.., |it| it.due <= now).collect();
        for Delivery { upstream, .. } in due {
            let image = self.sidecars[upstream].subscriber.image();
            if image.drained.contains_key(&upstream_name(upstream)) {
                continue;
            }
            let since = self.draining_since.get(&upstream);
            let within_limit = since.is_none_or(|since| now.since(*since) < DRAIN_LIMIT);
            score.check(within_limit, || {
                format!(
                    "{} took new work long after its mark",
                    upstream_name(upstream)
                )
            });
        }
    }
}
