//! Time from accepted to in force, and bytes a change.

use {
    super::{frame_bytes, millis, queue::Queue},
    hdrhistogram::Histogram,
    quay_config::{
        Action, ChangeId, ConfigAnswer, ConfigCommand, ConfigQuery, ConfigStore, KeyDigest, Origin,
        Poll, SectionRevision, Subscriber, SubscriberEvent, Update, check,
    },
    quay_members::Pacer,
    quay_quorum::StateMachine as _,
    quay_types::{ConfigIndex, Epoch, LogIndex, Time},
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    sapphirequayd::{ControlReply, ControlRequest, LinkRequest},
    serde::Serialize,
    std::{
        error::Error,
        fmt,
        time::{Duration, Instant},
    },
};

/// Interval at which a daemon asks.
const POLL_EVERY: Duration = Duration::from_secs(1);

/// Mean time between two changes.
const CHANGE_EVERY: Duration = Duration::from_secs(10);

/// Least and greatest delay of a message between data centres.
const DELAY_MS: std::ops::Range<f64> = 0.5..1.5;

/// Name of a daemon, as long as they are in use.
const DAEMON: &str = "sidecar-agent-llm-000";

/// What was measured with one number of subscribers.
#[derive(Debug, Serialize)]
pub struct SpreadRow {
    subscribers: usize,
    changes: u32,
    document_bytes: usize,
    /// Times from accepted to in force, over all changes and subscribers.
    in_force_p50_ms: u64,
    in_force_p99_ms: u64,
    in_force_max_ms: u64,
    /// Bytes of the answer that carries one change.
    change_bytes_mean: u64,
    /// Bytes a second to and from one daemon while nothing changes.
    idle_bytes_per_s: u64,
    /// Bytes of the answer to a daemon that missed 500 changes.
    snapshot_bytes: u64,
    /// Processor time of one check of the document; differs between runs.
    #[serde(skip)]
    check: Duration,
}

impl fmt::Display for SpreadRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "configuration subscribers={} changes={} document_bytes={} in_force_ms p50={} p99={} max={} \
            change_bytes={} idle_bytes_per_s={} snapshot_bytes={} check_ms={:.1}",
            self.subscribers,
            self.changes,
            self.document_bytes,
            self.in_force_p50_ms,
            self.in_force_p99_ms,
            self.in_force_max_ms,
            self.change_bytes_mean,
            self.idle_bytes_per_s,
            self.snapshot_bytes,
            self.check.as_secs_f64() * 1_000.0
        )
    }
}

/// What happens.
enum Event {
    /// A change is accepted.
    Change(u32),
    /// A subscriber's question reaches the leader.
    Asked(usize, Poll),
    /// The answer reaches the subscriber.
    Answered(usize, Box<Update>),
    /// A subscriber asks.
    Ask(usize),
}

/// A daemon.
struct Daemon {
    subscriber: Subscriber,
    pacer: Pacer,
}

/// The group, its daemons and what was counted.
struct Spread {
    rng: ChaCha8Rng,
    queue: Queue<Event>,
    store: ConfigStore,
    daemons: Vec<Daemon>,
    /// When each index was accepted.
    accepted: Vec<(ConfigIndex, Time)>,
    in_force: Histogram<u64>,
    change_bytes: u64,
    change_answers: u64,
    idle_bytes: u64,
    idle_answers: u64,
}

/// Measures with a number of subscribers.
pub fn run(
    seed: u64,
    subscribers: usize,
    accounts: u32,
    changes: u32,
) -> Result<SpreadRow, Box<dyn Error>> {
    let mut spread = Spread::new(seed, subscribers, accounts)?;
    let mut at = Time::from_millis(5_000);
    for number in 0..changes {
        spread.queue.push(at, Event::Change(number));
        at = at + CHANGE_EVERY.mul_f64(spread.rng.random_range(0.5..1.5));
    }
    let end = at + Duration::from_secs(5);
    while let Some((now, event)) = spread.queue.pop(end) {
        spread.handle(now, event)?;
    }
    for daemon in &spread.daemons {
        assert_eq!(daemon.subscriber.image(), spread.store.image());
    }
    spread.row(changes)
}

/// A document with accounts of the length that is usual.
fn document(accounts: u32) -> String {
    let mut text = String::from(
        "[platform.owners]\nplatform = [\"root\"]\nordering = [\"ada\"]\n[platform.models.agent-llm]\n",
    );
    for number in 0..accounts {
        let key = KeyDigest::of(&number.to_string());
        let account =
            format!("[ordering.accounts.shop-{number:04}]\nkey_sha256 = \"{key}\"\nweight = 100\n");
        text.push_str(&account);
    }
    text
}

impl Spread {
    /// A group with a document, and daemons that have none yet.
    fn new(seed: u64, subscribers: usize, accounts: u32) -> Result<Self, Box<dyn Error>> {
        let mut store = ConfigStore::default();
        let found = order(
            "found",
            Origin::Process,
            Action::Bootstrap(document(accounts).into()),
        );
        let accepted = store.apply(LogIndex(1), Epoch(1), found)?;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = Queue::new();
        let daemons = (0..subscribers).map(|number| {
            let mut pacer = Pacer::new(POLL_EVERY);
            queue.push(
                Time::ZERO + pacer.next_wait(rng.random()),
                Event::Ask(number),
            );
            Daemon {
                subscriber: Subscriber::default(),
                pacer,
            }
        });
        Ok(Self {
            daemons: daemons.collect(),
            rng,
            queue,
            store,
            accepted: vec![(accepted.index, Time::ZERO)],
            in_force: Histogram::new(3)?,
            change_bytes: 0,
            change_answers: 0,
            idle_bytes: 0,
            idle_answers: 0,
        })
    }

    /// When a message that is sent now arrives.
    fn arrival(&mut self, now: Time) -> Time {
        now + Duration::from_secs_f64(self.rng.random_range(DELAY_MS) / 1_000.0)
    }

    /// Does what an event asks for.
    fn handle(&mut self, now: Time, event: Event) -> Result<(), Box<dyn Error>> {
        match event {
            Event::Change(number) => self.change(now, number)?,
            Event::Ask(daemon) => {
                let poll = self.daemons[daemon].subscriber.poll();
                let at = self.arrival(now);
                self.queue.push(at, Event::Asked(daemon, poll));
            }
            Event::Asked(daemon, poll) => {
                let update = self.answer(poll)?;
                let at = self.arrival(now);
                self.queue
                    .push(at, Event::Answered(daemon, Box::new(update)));
            }
            Event::Answered(daemon, update) => self.learn(now, daemon, *update)?,
        }
        Ok(())
    }

    /// Changes the weight of one account.
    fn change(&mut self, now: Time, number: u32) -> Result<(), Box<dyn Error>> {
        let section = &self.store.image().sections["ordering"];
        let base = SectionRevision {
            version: section.version,
            digest: section.digest,
        };
        let lines: Vec<_> = section.text.lines().collect();
        let account = self.rng.random_range(0..lines.len() / 3);
        let weight = format!("weight = {}", number + 1);
        let mut changed = lines;
        changed[account * 3 + 2] = &weight;
        let action = Action::Change {
            section: "ordering".into(),
            base,
            text: (changed.join("\n") + "\n").into(),
        };
        let order = order(&format!("c-{number}"), Origin::Operator, action);
        let accepted = self.store.apply(LogIndex(1), Epoch(1), order)?;
        self.accepted.push((accepted.index, now));
        Ok(())
    }

    /// The leader's answer; its bytes are counted with those of the question.
    fn answer(&mut self, poll: Poll) -> Result<Update, Box<dyn Error>> {
        let question = LinkRequest::Control(ControlRequest::Poll {
            daemon: DAEMON.into(),
            poll,
        });
        let ConfigAnswer::Update(update) = self.store.query(&ConfigQuery::Poll(poll)) else {
            return Err("the store answered something else".into());
        };
        let bytes = frame_bytes(&ControlReply::Update(update.clone()))?;
        match &update {
            Update::Steps(_) => {
                self.change_bytes += bytes;
                self.change_answers += 1;
            }
            Update::Current(_) => {
                self.idle_bytes += bytes + frame_bytes(&question)?;
                self.idle_answers += 1;
            }
            _ => {}
        }
        Ok(update)
    }

    /// A subscriber takes an answer.
    fn learn(&mut self, now: Time, daemon: usize, update: Update) -> Result<(), Box<dyn Error>> {
        let random = self.rng.random();
        let daemon_state = &mut self.daemons[daemon];
        let before = daemon_state.subscriber.image().index;
        let event = daemon_state.subscriber.receive(update, true);
        let next = now + daemon_state.pacer.next_wait(random);
        self.queue.push(next, Event::Ask(daemon));
        if let SubscriberEvent::Activated(index) = event
            && before > ConfigIndex(0)
        {
            let new = self
                .accepted
                .iter()
                .filter(|(accepted, _)| *accepted > before && *accepted <= index);
            for (_, at) in new {
                self.in_force.record(millis(now.since(*at)))?;
            }
        }
        Ok(())
    }

    /// What was measured.
    fn row(&self, changes: u32) -> Result<SpreadRow, Box<dyn Error>> {
        let image = self.store.image();
        let far = ConfigAnswer::Update(Update::Snapshot(Box::new(image.clone())));
        let began = Instant::now();
        let checked = check(&image.document());
        let check = began.elapsed();
        checked.map_err(|faults| faults[0].clone())?;
        let polls_per_s = 1.0 / POLL_EVERY.as_secs_f64();
        let idle = self.idle_bytes / self.idle_answers.max(1);
        Ok(SpreadRow {
            subscribers: self.daemons.len(),
            changes,
            document_bytes: image
                .sections
                .values()
                .map(|section| section.text.len())
                .sum(),
            in_force_p50_ms: self.in_force.value_at_quantile(0.5),
            in_force_p99_ms: self.in_force.value_at_quantile(0.99),
            in_force_max_ms: self.in_force.max(),
            change_bytes_mean: self.change_bytes / self.change_answers.max(1),
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                clippy::cast_precision_loss
            )]
            idle_bytes_per_s: (idle as f64 * polls_per_s) as u64,
            snapshot_bytes: frame_bytes(&far)?,
            check,
        })
    }
}

/// An order of an author who owns every section.
fn order(id: &str, origin: Origin, action: Action) -> ConfigCommand {
    ConfigCommand {
        id: ChangeId(id.into()),
        author: "ada".into(),
        origin,
        cause: "a shop moved".into(),
        time_ms: 0,
        action,
    }
}
