//! Simulates how configuration changes reach the subscribers: time from
//! acceptance to activation, and bytes per change.

use {
    super::{frame_bytes, millis, queue::EventQueue},
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

/// Interval at which a daemon polls the leader.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Mean time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(10);

/// Range of the delay of a message between data centres, in milliseconds.
const DELAY_MS: std::ops::Range<f64> = 0.5..1.5;

/// Name of a daemon, with a typical length since it adds to the bytes of a poll.
const DAEMON: &str = "sidecar-agent-llm-000";

/// Results for one number of subscribers.
#[derive(Debug, Serialize)]
pub struct SpreadRow {
    subscribers: usize,
    changes: u32,
    document_bytes: usize,
    /// Milliseconds from acceptance to activation, over all changes and
    /// subscribers.
    in_force_p50_ms: u64,
    in_force_p99_ms: u64,
    in_force_max_ms: u64,
    /// Mean size of a reply that carries changes, in bytes.
    change_bytes_mean: u64,
    /// Bytes per second to and from one daemon while nothing changes.
    idle_bytes_per_s: u64,
    /// Bytes of the reply, a snapshot, to a daemon that missed 500 changes.
    snapshot_bytes: u64,
    /// Duration of one check of the document. Not serialized, since it differs
    /// between runs.
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

/// Events of the simulation.
enum Event {
    /// A change is accepted.
    Change(u32),
    /// The poll of a subscriber reaches the leader.
    PollReceived(usize, Poll),
    /// The reply reaches the subscriber.
    UpdateReceived(usize, Box<Update>),
    /// A subscriber sends a poll.
    SendPoll(usize),
}

/// Subscribed daemon.
struct Daemon {
    subscriber: Subscriber,
    pacer: Pacer,
}

/// State of the simulation: control group, daemons and counters.
struct Simulation {
    rng: ChaCha8Rng,
    queue: EventQueue<Event>,
    store: ConfigStore,
    daemons: Vec<Daemon>,
    /// Index and time of each accepted change.
    accepted: Vec<(ConfigIndex, Time)>,
    in_force: Histogram<u64>,
    change_bytes: u64,
    change_answers: u64,
    idle_bytes: u64,
    idle_answers: u64,
}

/// Runs the simulation with a number of subscribers.
pub fn run(
    seed: u64,
    subscribers: usize,
    accounts: u32,
    changes: u32,
) -> Result<SpreadRow, Box<dyn Error>> {
    let mut simulation = Simulation::new(seed, subscribers, accounts)?;
    let mut at = Time::from_millis(5_000);
    for number in 0..changes {
        simulation.queue.push(at, Event::Change(number));
        at = at + CHANGE_INTERVAL.mul_f64(simulation.rng.random_range(0.5..1.5));
    }
    let end = at + Duration::from_secs(5);
    while let Some((now, event)) = simulation.queue.pop(end) {
        simulation.handle(now, event)?;
    }
    for daemon in &simulation.daemons {
        assert_eq!(daemon.subscriber.image(), simulation.store.image());
    }
    simulation.row(changes)
}

/// Document with a number of accounts of typical size.
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

impl Simulation {
    /// Creates a control group that has the document, and daemons without any
    /// configuration.
    fn new(seed: u64, subscribers: usize, accounts: u32) -> Result<Self, Box<dyn Error>> {
        let mut store = ConfigStore::default();
        let bootstrap = command(
            "found",
            Origin::Process,
            Action::Bootstrap(document(accounts).into()),
        );
        let accepted = store.apply(LogIndex(1), Epoch(1), bootstrap)?;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = EventQueue::new();
        let daemons = (0..subscribers).map(|number| {
            let mut pacer = Pacer::new(POLL_INTERVAL);
            queue.push(
                Time::ZERO + pacer.next_wait(rng.random()),
                Event::SendPoll(number),
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

    /// Arrival time of a message sent at `now`, with a random delay.
    fn arrival(&mut self, now: Time) -> Time {
        now + Duration::from_secs_f64(self.rng.random_range(DELAY_MS) / 1_000.0)
    }

    /// Processes one event.
    fn handle(&mut self, now: Time, event: Event) -> Result<(), Box<dyn Error>> {
        match event {
            Event::Change(number) => self.change(now, number)?,
            Event::SendPoll(daemon) => {
                let poll = self.daemons[daemon].subscriber.poll();
                let at = self.arrival(now);
                self.queue.push(at, Event::PollReceived(daemon, poll));
            }
            Event::PollReceived(daemon, poll) => {
                let update = self.answer(poll)?;
                let at = self.arrival(now);
                self.queue
                    .push(at, Event::UpdateReceived(daemon, Box::new(update)));
            }
            Event::UpdateReceived(daemon, update) => self.receive_update(now, daemon, *update)?,
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
        let command = command(&format!("c-{number}"), Origin::Operator, action);
        let accepted = self.store.apply(LogIndex(1), Epoch(1), command)?;
        self.accepted.push((accepted.index, now));
        Ok(())
    }

    /// Returns the leader's reply to a poll and counts its bytes. For a reply
    /// without changes the bytes of the poll are counted too.
    fn answer(&mut self, poll: Poll) -> Result<Update, Box<dyn Error>> {
        let request = LinkRequest::Control(ControlRequest::Poll {
            daemon: DAEMON.into(),
            poll,
        });
        let ConfigAnswer::Update(update) = self.store.query(&ConfigQuery::Poll(poll)) else {
            return Err("unexpected answer from the configuration store".into());
        };
        let bytes = frame_bytes(&ControlReply::Update(update.clone()))?;
        match &update {
            Update::Steps(_) => {
                self.change_bytes += bytes;
                self.change_answers += 1;
            }
            Update::Current(_) => {
                self.idle_bytes += bytes + frame_bytes(&request)?;
                self.idle_answers += 1;
            }
            _ => {}
        }
        Ok(update)
    }

    /// Delivers a reply to a subscriber and records the changes it activates.
    fn receive_update(
        &mut self,
        now: Time,
        daemon: usize,
        update: Update,
    ) -> Result<(), Box<dyn Error>> {
        let random = self.rng.random();
        let daemon_state = &mut self.daemons[daemon];
        let before = daemon_state.subscriber.image().index;
        let event = daemon_state.subscriber.receive(update, true);
        let next = now + daemon_state.pacer.next_wait(random);
        self.queue.push(next, Event::SendPoll(daemon));
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

    /// Summarizes the measurements.
    fn row(&self, changes: u32) -> Result<SpreadRow, Box<dyn Error>> {
        let image = self.store.image();
        let snapshot = ConfigAnswer::Update(Update::Snapshot(Box::new(image.clone())));
        let began = Instant::now();
        let checked = check(&image.document());
        let check = began.elapsed();
        checked.map_err(|faults| faults[0].clone())?;
        let polls_per_s = 1.0 / POLL_INTERVAL.as_secs_f64();
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
            snapshot_bytes: frame_bytes(&snapshot)?,
            check,
        })
    }
}

/// Command of the author `ada`, who owns the changed section.
fn command(id: &str, origin: Origin, action: Action) -> ConfigCommand {
    ConfigCommand {
        id: ChangeId(id.into()),
        author: "ada".into(),
        origin,
        cause: "a shop moved".into(),
        time_ms: 0,
        action,
    }
}
