//! Bytes of the directory, and the ways of keeping it over a leader change.

use {
    super::{frame_bytes, millis, queue::Queue},
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

/// Replicas of the group that the directory would be logged in.
const REPLICAS: u64 = 3;

/// Interval of a reader's reads, and while an answer was cut short.
const READ_EVERY: Duration = Duration::from_secs(1);
const CATCH_UP_EVERY: Duration = Duration::from_millis(250);

/// How long the directory is watched before the leader is lost.
const STEADY: Duration = Duration::from_secs(30);

/// How long the new leader is watched.
const AFTER: Duration = Duration::from_secs(20);

/// What was measured.
#[derive(Debug, Default, Serialize)]
pub struct DirectoryReport {
    sidecars: u32,
    /// Heartbeats a second, of all sidecars to one host.
    heartbeats_per_s: u64,
    /// Bytes of one heartbeat with its answer.
    heartbeat_bytes: u64,
    /// Bytes of one full announcement.
    announcement_bytes: u64,
    /// Bytes a second from a host to one reader.
    reader_bytes_per_s: u64,
    /// The same if the whole directory were sent each second.
    whole_bytes_per_s: u64,
    /// Most bytes a second to a reader that starts.
    first_reads_bytes_per_s: u64,
    /// Time until a reader that starts holds every line.
    first_reads_ms: u64,
    logged: WayRow,
    rebuilt: WayRow,
    everywhere: WayRow,
}

/// One way of keeping the directory.
#[derive(Debug, Default, Serialize)]
struct WayRow {
    commits_per_s: u64,
    /// Bytes a second that the hosts take in, in all.
    bytes_per_s: u64,
    /// Time from the election of a leader until its directory is complete.
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
        let ways = [
            ("logged", &self.logged),
            ("rebuilt", &self.rebuilt),
            ("everywhere", &self.everywhere),
        ];
        for (name, way) in ways {
            writeln!(
                f,
                "way={name} commits_per_s={} bytes_per_s={} complete_ms={}",
                way.commits_per_s, way.bytes_per_s, way.complete_ms
            )?;
        }
        Ok(())
    }
}

/// A sidecar and what it knows of the host.
struct Sidecar {
    announcement: Announcement,
    contact: HostContact,
    pacer: Pacer,
}

/// What happens.
enum Event {
    /// A sidecar announces itself.
    Announce(usize),
    /// The reader reads.
    Read,
}

/// Sidecars, one host and one reader.
struct World {
    rng: ChaCha8Rng,
    queue: Queue<Event>,
    sidecars: Vec<Sidecar>,
    host: Directory,
    view: DirectoryView,
    reads: Pacer,
    catch_up: Pacer,
    heard: u64,
    heard_bytes: u64,
    read_bytes: Vec<(Time, u64)>,
}

/// Measures with a number of sidecars.
pub fn run(seed: u64, sidecars: u32) -> Result<DirectoryReport, Box<dyn Error>> {
    let mut world = World::new(seed, sidecars);
    let mut report = DirectoryReport {
        sidecars,
        announcement_bytes: world.announcement_bytes()?,
        ..DirectoryReport::default()
    };
    let settled = Time::ZERO + Duration::from_secs(10);
    let mut full = None;
    while let Some(now) = world.step(settled)? {
        if full.is_none() && world.view.entries(now).len() == sidecars as usize {
            full = Some(now);
        }
    }
    report.first_reads_ms = millis(full.unwrap_or(settled).since(Time::ZERO));
    report.first_reads_bytes_per_s = world.busiest_second();

    world.forget_counts();
    let lost = settled + STEADY;
    while world.step(lost)?.is_some() {}
    let seconds = STEADY.as_secs();
    report.heartbeats_per_s = world.heard / seconds;
    report.heartbeat_bytes = world.heard_bytes / world.heard.max(1);
    report.reader_bytes_per_s = world.read_total() / seconds;
    report.whole_bytes_per_s = world.whole_bytes(lost)?;
    let to_host = world.heard_bytes / seconds;

    // A leader is lost: another host begins with nothing but what it is told.
    world.host = Directory::new(lost, 2, MembersSettings::default());
    let mut complete = None;
    while let Some(now) = world.step(lost + AFTER)? {
        if complete.is_none() && world.host.len() == sidecars as usize {
            complete = Some(now);
        }
    }
    let rebuilt = millis(complete.unwrap_or(lost + AFTER).since(lost));
    // A logged heartbeat goes to the leader, and from there to each follower.
    report.logged = WayRow {
        commits_per_s: report.heartbeats_per_s,
        bytes_per_s: to_host * REPLICAS,
        complete_ms: 0,
    };
    report.rebuilt = WayRow {
        commits_per_s: 0,
        bytes_per_s: to_host,
        complete_ms: rebuilt,
    };
    report.everywhere = WayRow {
        commits_per_s: 0,
        bytes_per_s: to_host * REPLICAS,
        complete_ms: 0,
    };
    Ok(report)
}

impl World {
    /// Sidecars that all start at once, a host and a reader.
    fn new(seed: u64, sidecars: u32) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = Queue::new();
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
            reads: Pacer::new(READ_EVERY),
            catch_up: Pacer::new(CATCH_UP_EVERY),
            heard: 0,
            heard_bytes: 0,
            read_bytes: Vec::new(),
        }
    }

    /// Does what is next; its time, if it is before `until`.
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

    /// A sidecar announces itself with a load that has changed.
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
        self.heard += 1;
        self.heard_bytes += bytes + frame_bytes(&reply)?;
        sidecar.contact.on_reply(Some(&reply));
        let next = now + sidecar.pacer.next_wait(random);
        self.queue.push(next, Event::Announce(number));
        Ok(())
    }

    /// The reader reads.
    fn read(&mut self, now: Time) -> Result<(), Box<dyn Error>> {
        self.host.tick(now);
        let req = self.view.next_request(1);
        let asked = frame_bytes(&LinkRequest::Members(MembersRequest::Changes(req.clone())))?;
        let changes = self.host.changes(now, &req);
        let bytes = frame_bytes(&MembersReply::Changes(changes.clone()))?;
        self.read_bytes.push((now, asked + bytes));
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

    /// Forgets what was counted so far.
    fn forget_counts(&mut self) {
        self.heard = 0;
        self.heard_bytes = 0;
        self.read_bytes.clear();
    }

    /// Bytes of all reads.
    fn read_total(&self) -> u64 {
        self.read_bytes.iter().map(|(_, bytes)| bytes).sum()
    }

    /// Most bytes of reads within one second.
    fn busiest_second(&self) -> u64 {
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

    /// Bytes of one full announcement.
    fn announcement_bytes(&self) -> Result<u64, Box<dyn Error>> {
        let Some(sidecar) = self.sidecars.first() else {
            return Ok(0);
        };
        let announcement = Box::new(sidecar.announcement.clone());
        let req = LinkRequest::Members(MembersRequest::Announce(announcement));
        Ok(frame_bytes(&req)?)
    }

    /// Bytes of the whole directory in one message.
    fn whole_bytes(&self, now: Time) -> Result<u64, Box<dyn Error>> {
        let entries: Box<[DirectoryEntry]> = self.view.entries(now);
        Ok(frame_bytes(&entries)?)
    }
}

/// The announcement of an engine with five models.
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
