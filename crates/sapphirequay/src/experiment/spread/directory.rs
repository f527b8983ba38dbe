//! Simulates the network cost of the directory of upstreams, and compares three
//! ways of keeping it across a change of leader: replicated in the log, rebuilt
//! from heartbeats, or sent to every replica.

use {
    super::{frame_bytes, millis, queue::EventQueue},
    quay_members::{
        Directory, DirectoryView, HostContact, MembersReply, MembersRequest, MembersSettings, Pacer,
    },
    quay_types::{
        Announcement, DirectoryEntry, Incarnation, Load, ModelId, Time, UpstreamKind, UpstreamState,
    },
    rand::{RngExt as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    sapphirequayd::LinkRequest,
    serde::Serialize,
    std::{error::Error, fmt, net::SocketAddr, time::Duration},
};

/// Number of replicas of the group whose log would hold the directory.
const REPLICAS: u64 = 3;

/// Intervals of a reader's reads: in the steady state, and while it is still
/// incomplete or the last reply was truncated.
const READ_INTERVAL: Duration = Duration::from_secs(1);
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(250);

/// Duration of the measurement before the leader is lost.
const STEADY_DURATION: Duration = Duration::from_secs(30);

/// Duration of the measurement after the loss of the leader.
const FAILOVER_DURATION: Duration = Duration::from_secs(20);

/// Results of the simulation.
#[derive(Debug, Default, Serialize)]
pub struct DirectoryReport {
    sidecars: u32,
    /// Heartbeats per second from all sidecars to one host.
    heartbeats_per_s: u64,
    /// Mean bytes of one heartbeat with its reply.
    heartbeat_bytes: u64,
    /// Size of one full announcement in bytes.
    announcement_bytes: u64,
    /// Bytes per second between a host and one reader.
    reader_bytes_per_s: u64,
    /// Bytes per second to one reader if each read returned the whole directory.
    whole_bytes_per_s: u64,
    /// Peak bytes per second between a host and a reader that starts.
    first_reads_bytes_per_s: u64,
    /// Milliseconds until a reader that starts holds every entry.
    first_reads_ms: u64,
    logged: StrategyRow,
    rebuilt: StrategyRow,
    everywhere: StrategyRow,
}

/// Cost of one way of keeping the directory.
#[derive(Debug, Default, Serialize)]
struct StrategyRow {
    commits_per_s: u64,
    /// Bytes per second of heartbeats, summed over all hosts.
    bytes_per_s: u64,
    /// Milliseconds from the election of a leader until its directory is
    /// complete.
    complete_ms: u64,
}

impl fmt::Display for DirectoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "directory sidecars={} heartbeats_per_s={} heartbeat_bytes={} announcement_bytes={} \
            reader_bytes_per_s={} whole_bytes_per_s={} first_reads_bytes_per_s={} first_reads_ms={}",
            self.sidecars,
            self.heartbeats_per_s,
            self.heartbeat_bytes,
            self.announcement_bytes,
            self.reader_bytes_per_s,
            self.whole_bytes_per_s,
            self.first_reads_bytes_per_s,
            self.first_reads_ms
        )?;
        let strategies = [
            ("logged", &self.logged),
            ("rebuilt", &self.rebuilt),
            ("everywhere", &self.everywhere),
        ];
        for (name, strategy) in strategies {
            writeln!(
                f,
                "way={name} commits_per_s={} bytes_per_s={} complete_ms={}",
                strategy.commits_per_s, strategy.bytes_per_s, strategy.complete_ms
            )?;
        }
        Ok(())
    }
}

/// Simulated sidecar and its contact with the host.
struct Sidecar {
    announcement: Announcement,
    contact: HostContact,
    pacer: Pacer,
}

/// Events of the simulation.
enum Event {
    /// A sidecar sends a heartbeat.
    Announce(usize),
    /// The reader reads the changes of the directory.
    Read,
}

/// State of the simulation: sidecars, one host and one reader.
struct Simulation {
    rng: ChaCha8Rng,
    queue: EventQueue<Event>,
    sidecars: Vec<Sidecar>,
    host: Directory,
    view: DirectoryView,
    reads: Pacer,
    catch_up: Pacer,
    heartbeats: u64,
    heartbeat_bytes_total: u64,
    read_bytes: Vec<(Time, u64)>,
}

/// Runs the simulation with a number of sidecars.
pub fn run(seed: u64, sidecars: u32) -> Result<DirectoryReport, Box<dyn Error>> {
    let mut simulation = Simulation::new(seed, sidecars);
    let mut report = DirectoryReport {
        sidecars,
        announcement_bytes: simulation.announcement_bytes()?,
        ..DirectoryReport::default()
    };
    let settled = Time::ZERO + Duration::from_secs(10);
    let mut full = None;
    while let Some(now) = simulation.step(settled)? {
        if full.is_none() && simulation.view.entries(now).len() == sidecars as usize {
            full = Some(now);
        }
    }
    report.first_reads_ms = millis(full.unwrap_or(settled).since(Time::ZERO));
    report.first_reads_bytes_per_s = simulation.peak_bytes_per_s();

    simulation.reset_counters();
    let lost = settled + STEADY_DURATION;
    while simulation.step(lost)?.is_some() {}
    let seconds = STEADY_DURATION.as_secs();
    report.heartbeats_per_s = simulation.heartbeats / seconds;
    report.heartbeat_bytes = simulation.heartbeat_bytes_total / simulation.heartbeats.max(1);
    report.reader_bytes_per_s = simulation.read_total() / seconds;
    report.whole_bytes_per_s = simulation.whole_bytes(lost)?;
    let to_host = simulation.heartbeat_bytes_total / seconds;

    // The leader is lost: the new leader starts with an empty directory and
    // fills it from heartbeats.
    simulation.host = Directory::new(lost, 2, MembersSettings::default());
    let mut complete = None;
    while let Some(now) = simulation.step(lost + FAILOVER_DURATION)? {
        if complete.is_none() && simulation.host.len() == sidecars as usize {
            complete = Some(now);
        }
    }
    let rebuilt = millis(complete.unwrap_or(lost + FAILOVER_DURATION).since(lost));
    // A logged heartbeat is sent to the leader and from there to each follower.
    report.logged = StrategyRow {
        commits_per_s: report.heartbeats_per_s,
        bytes_per_s: to_host * REPLICAS,
        complete_ms: 0,
    };
    report.rebuilt = StrategyRow {
        commits_per_s: 0,
        bytes_per_s: to_host,
        complete_ms: rebuilt,
    };
    report.everywhere = StrategyRow {
        commits_per_s: 0,
        bytes_per_s: to_host * REPLICAS,
        complete_ms: 0,
    };
    Ok(report)
}

impl Simulation {
    /// Creates a host, a reader and sidecars that all start at the same time.
    fn new(seed: u64, sidecars: u32) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = EventQueue::new();
        let settings = MembersSettings::default();
        let sidecars = (0..sidecars).map(|number| {
            let mut pacer = Pacer::new(settings.heartbeat);
            let at = Time::ZERO + pacer.next_wait(rng.random());
            queue.push(at, Event::Announce(number as usize));
            Sidecar {
                announcement: announcement(number),
                contact: HostContact::default(),
                pacer,
            }
        });
        let sidecars = sidecars.collect();
        queue.push(Time::ZERO, Event::Read);
        Self {
            rng,
            queue,
            sidecars,
            host: Directory::new(Time::ZERO, 1, settings),
            view: DirectoryView::default(),
            reads: Pacer::new(READ_INTERVAL),
            catch_up: Pacer::new(CATCH_UP_INTERVAL),
            heartbeats: 0,
            heartbeat_bytes_total: 0,
            read_bytes: Vec::new(),
        }
    }

    /// Processes the next event if it is due before `until`; returns its time.
    fn step(&mut self, until: Time) -> Result<Option<Time>, Box<dyn Error>> {
        let Some((now, event)) = self.queue.pop(until) else {
            return Ok(None);
        };
        match event {
            Event::Announce(number) => self.announce(now, number)?,
            Event::Read => self.read(now)?,
        }
        Ok(Some(now))
    }

    /// Sends the heartbeat of a sidecar with a changed load.
    fn announce(&mut self, now: Time, number: usize) -> Result<(), Box<dyn Error>> {
        let load = Load {
            queued: self.rng.random_range(0..40),
            running: self.rng.random_range(20..64),
            backlog: self.rng.random_range(0..400_000),
            kv_permille: self.rng.random_range(600..1_000),
            token_gap_us: self.rng.random_range(20_000..40_000),
            age_ms: self.rng.random_range(0..200),
        };
        let random = self.rng.random();
        let sidecar = &mut self.sidecars[number];
        sidecar.announcement.sequence += 1;
        sidecar.announcement.load = load;
        let req = sidecar.contact.next_request(&sidecar.announcement);
        let bytes = frame_bytes(&LinkRequest::Members(req.clone()))?;
        let reply = self.host.handle(now, req);
        self.heartbeats += 1;
        self.heartbeat_bytes_total += bytes + frame_bytes(&reply)?;
        sidecar.contact.on_reply(Some(&reply));
        let next = now + sidecar.pacer.next_wait(random);
        self.queue.push(next, Event::Announce(number));
        Ok(())
    }

    /// Reads the changes of the directory and schedules the next read.
    fn read(&mut self, now: Time) -> Result<(), Box<dyn Error>> {
        self.host.tick(now);
        let req = self.view.next_request(1);
        let request_bytes =
            frame_bytes(&LinkRequest::Members(MembersRequest::Changes(req.clone())))?;
        let changes = self.host.changes(now, &req);
        let bytes = frame_bytes(&MembersReply::Changes(changes.clone()))?;
        self.read_bytes.push((now, request_bytes + bytes));
        self.view.apply(now, changes);
        let pacer = if self.view.complete() && !self.view.has_more() {
            &mut self.reads
        } else {
            &mut self.catch_up
        };
        let next = now + pacer.next_wait(self.rng.random());
        self.queue.push(next, Event::Read);
        Ok(())
    }

    /// Resets the counters.
    fn reset_counters(&mut self) {
        self.heartbeats = 0;
        self.heartbeat_bytes_total = 0;
        self.read_bytes.clear();
    }

    /// Total bytes of all reads.
    fn read_total(&self) -> u64 {
        self.read_bytes.iter().map(|(_, bytes)| bytes).sum()
    }

    /// Maximum bytes of reads within one second.
    fn peak_bytes_per_s(&self) -> u64 {
        let second = Duration::from_secs(1);
        let from = |start: Time| {
            let within = self
                .read_bytes
                .iter()
                .filter(move |(at, _)| *at >= start && at.since(start) < second);
            within.map(|(_, bytes)| bytes).sum()
        };
        let sums = self.read_bytes.iter().map(|(start, _)| from(*start));
        sums.max().unwrap_or_default()
    }

    /// Size of one full announcement in bytes.
    fn announcement_bytes(&self) -> Result<u64, Box<dyn Error>> {
        let Some(sidecar) = self.sidecars.first() else {
            return Ok(0);
        };
        let announcement = Box::new(sidecar.announcement.clone());
        let req = LinkRequest::Members(MembersRequest::Announce(announcement));
        Ok(frame_bytes(&req)?)
    }

    /// Size of the whole directory as one message, in bytes.
    fn whole_bytes(&self, now: Time) -> Result<u64, Box<dyn Error>> {
        let entries: Box<[DirectoryEntry]> = self.view.entries(now);
        Ok(frame_bytes(&entries)?)
    }
}

/// Announcement of an engine with five models.
fn announcement(number: u32) -> Announcement {
    let models = (0..5).map(|model| ModelId::of(&format!("model-{model}")));
    Announcement {
        name: format!("agent-llm-{number:03}").into(),
        incarnation: Incarnation(1_796_332_844_000),
        sequence: 0,
        addr: SocketAddr::from(([10, 1, 0, 1], 7_000)),
        data_centre: "it-north-2".into(),
        kind: UpstreamKind::Engine {
            models: models.collect(),
        },
        state: UpstreamState::Serving,
        load: Load::default(),
    }
}
