//! Quarantine of requests that crash the upstreams that run them.
//!
//! A request is identified by the digest of its content. Each crash counts as a
//! strike for every request that was running on the upstream, and the third
//! quarantines it. A harmless request is cleared by the first run that completes.
//! Crashes are reported in one of two ways:
//!
//! - [`SuspectCommand::Crashed`] names all requests that were running, and each
//!   run of a suspect needs clearance. After the first strike a request runs only
//!   where no other suspect runs, after the second it runs alone, and only one
//!   run of a suspect is in progress at a time. A poison request therefore costs
//!   at most [`MAX_STRIKES`] upstreams once its first crash is known, however
//!   often it is resent and whatever other requests are poison.
//! - [`SuspectEvent::RunsLost`] names the runs that one entry lost, and other
//!   entries may report more runs lost by the same crash, in any order. Suspects
//!   need no clearance, so none waits for another. A request with three strikes
//!   is not quarantined while another suspect was present at all of its crashes,
//!   since that one may be the cause; with four strikes it is.

use {
    indexmap::IndexMap,
    quay_types::{ContentDigest, Incarnation, RequestContent, Time, UpstreamId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Strikes at which a request is quarantined.
const MAX_STRIKES: usize = 3;

/// Strikes from which a request must run alone.
const ALONE_STRIKES: usize = 2;

/// Strikes from which a suspect is listed to the entries.
const LISTED_STRIKES: usize = 2;

/// Time within which losses at one incarnation of an upstream count as one crash: an
/// upstream that does not tell its start time has only one.
const MERGE_TIME: Duration = Duration::from_secs(5);

/// Maximum number of crashes that are recorded for a request.
const MAX_CRASHES: usize = 8;

/// Settings of quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectSettings {
    /// Duration of a quarantine, counted from the last crash or the last request
    /// for clearance. It doubles with each strike after the third.
    pub quarantine_time: Duration,
    /// Time after which the run of a suspect no longer blocks other runs.
    pub trial_timeout: Duration,
    /// Time after which a suspect that is not resent is removed.
    pub forget_after: Duration,
    /// Maximum number of suspects.
    pub max_suspects: u32,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            quarantine_time: Duration::from_mins(10),
            trial_timeout: Duration::from_mins(10),
            forget_after: Duration::from_hours(1),
            max_suspects: 4_096,
        }
    }
}

/// Command of the replicated control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectCommand {
    /// An upstream crashed.
    Crashed {
        /// Time of the crash.
        at: Time,
        /// Upstream that crashed.
        upstream: UpstreamId,
        /// Incarnation of the upstream's sidecar.
        incarnation: Incarnation,
        /// Number of the crash within the incarnation; a report that is resent
        /// counts once.
        crash: u64,
        /// Requests that were running on the upstream.
        running: Box<[ContentDigest]>,
    },
    /// An entry requests clearance to run a request.
    RequestClearance {
        /// Time of the command.
        at: Time,
        /// Digest of the request.
        digest: ContentDigest,
        /// Upstream that is to run the request.
        upstream: UpstreamId,
    },
    /// A run with clearance ended without a crash.
    Ended {
        /// Time of the command.
        at: Time,
        /// Digest of the request.
        digest: ContentDigest,
        /// Whether the run completed, which clears the request.
        completed: bool,
    },
    /// An operator clears a request.
    Clear {
        /// Digest of the request.
        digest: ContentDigest,
    },
    /// An entry observed events.
    Observed {
        /// Time of the command.
        at: Time,
        /// The events, in this order.
        events: Box<[SuspectEvent]>,
    },
}

/// Observation of an entry that knows only its own runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectEvent {
    /// An upstream ended while it ran requests of the entry.
    RunsLost {
        /// Upstream that ended.
        upstream: UpstreamId,
        /// Incarnation that ended.
        incarnation: Incarnation,
        /// Digests of the requests.
        runs: Box<[ContentDigest]>,
    },
    /// A run of the request completed, which clears it.
    Completed(ContentDigest),
}

/// Clearance to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Clearance {
    /// The request is not a suspect.
    Unrestricted,
    /// The request may run as the only suspect on the upstream.
    OnlySuspect,
    /// The request may run if nothing else runs on the upstream.
    Exclusive,
    /// Another run of the request, or another suspect on the upstream, must end
    /// first.
    Wait,
    /// The request must not run. The duration is the time until the quarantine
    /// ends if the request is not resent.
    Quarantined(Duration),
}

/// Reply to a [`SuspectCommand`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectReply {
    /// The command was applied, now or earlier.
    Done,
    /// Reply to [`SuspectCommand::RequestClearance`].
    Clearance(Clearance),
}

/// Crash of an upstream: the upstream, its incarnation, and the number of the
/// crash within the incarnation, which increases.
type CrashId = (UpstreamId, Incarnation, u64);

/// State of one suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    /// Crashes of upstreams that were running the request; at most
    /// [`MAX_CRASHES`].
    crashes: Vec<CrashId>,
    /// Whether the request ran alone at a crash that was not its first.
    confirmed: bool,
    /// Upstream on which the request runs under a clearance, and the start of
    /// that run.
    trial: Option<(UpstreamId, Time)>,
    /// Time at which the request was last sent or involved in a crash.
    seen: Time,
}

impl Suspect {
    const fn new(seen: Time) -> Self {
        Self {
            crashes: Vec::new(),
            confirmed: false,
            trial: None,
            seen,
        }
    }

    fn add_crash(&mut self, at: Time, crash: CrashId) {
        if self.crashes.contains(&crash) {
            return;
        }
        self.seen = at;
        if self.crashes.len() < MAX_CRASHES {
            self.crashes.push(crash);
        }
    }

    fn strikes(&self) -> usize {
        let least = if self.confirmed { MAX_STRIKES } else { 0 };
        self.crashes.len().max(least)
    }

    fn quarantine_time(&self, cfg: &SuspectSettings) -> Duration {
        let further_strikes = self.crashes.len().saturating_sub(MAX_STRIKES);
        cfg.quarantine_time * (1 << further_strikes)
    }
}

/// All suspects, as a state machine that the control group replicates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRegistry {
    cfg: SuspectSettings,
    requests: IndexMap<ContentDigest, Suspect>,
    /// Latest crash of each upstream that was counted.
    crashes: IndexMap<UpstreamId, (Incarnation, u64)>,
}

impl SuspectRegistry {
    /// Creates a registry without suspects.
    #[must_use]
    pub fn new(cfg: SuspectSettings) -> Self {
        Self {
            cfg,
            requests: IndexMap::new(),
            crashes: IndexMap::new(),
        }
    }

    /// Whether a request needs clearance. Cheap enough to check for each call,
    /// also on a copy of the registry.
    #[must_use]
    pub fn is_suspect(&self, digest: ContentDigest) -> bool {
        self.requests.contains_key(&digest)
    }

    /// Suspects that are a request under its present account or under another one that its
    /// caller may have had.
    pub fn suspects_of(&self, content: RequestContent) -> impl Iterator<Item = ContentDigest> {
        let digests = self.requests.keys().copied();
        digests.filter(move |digest| content.matches(*digest))
    }

    /// Whether a request may have to be quarantined with `more` crashes.
    #[must_use]
    pub fn may_be_quarantined_with(&self, content: impl Into<RequestContent>, more: usize) -> bool {
        let known = self.suspect(content.into());
        let known = known.map_or(0, |suspect| suspect.strikes());
        more > 0 && known + more >= MAX_STRIKES
    }

    /// Whether a request must not run at `now`. Crashes count whichever account its caller
    /// had.
    #[must_use]
    pub fn is_quarantined(&self, now: Time, content: impl Into<RequestContent>) -> bool {
        let content = content.into();
        let suspect = self.suspect(content);
        suspect.is_some_and(|suspect| self.holds_back(now, content, &suspect))
    }

    /// Everything that is known of a request, whichever account its caller had.
    fn suspect(&self, content: RequestContent) -> Option<Suspect> {
        let mut known = self.suspects_of(content);
        let mut suspect = self.requests.get(&known.next()?)?.clone();
        for other in known.filter_map(|digest| self.requests.get(&digest)) {
            for crash in &other.crashes {
                suspect.add_crash(suspect.seen, *crash);
            }
            suspect.confirmed |= other.confirmed;
            suspect.seen = suspect.seen.max(other.seen);
        }
        Some(suspect)
    }

    /// Requests that are quarantined at `now`, with the time at which each was
    /// last seen.
    pub fn quarantined(&self, now: Time) -> impl Iterator<Item = (ContentDigest, Time)> {
        let held = self
            .requests
            .iter()
            .filter(move |(digest, suspect)| self.holds_back(now, (**digest).into(), suspect));
        held.map(|(digest, suspect)| (*digest, suspect.seen))
    }

    /// The suspects that entries must know, to refuse or to clear them: those that
    /// are quarantined or one strike short of it.
    #[must_use]
    pub fn listed(&self) -> Self {
        let mut listed = self.clone();
        listed
            .requests
            .retain(|_, suspect| suspect.strikes() >= LISTED_STRIKES);
        listed.crashes.clear();
        listed
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &SuspectCommand) -> SuspectReply {
        match command {
            SuspectCommand::Crashed {
                at,
                upstream,
                incarnation,
                crash,
                running,
            } => self.record_crash(*at, *upstream, (*incarnation, *crash), running),
            SuspectCommand::RequestClearance {
                at,
                digest,
                upstream,
            } => return SuspectReply::Clearance(self.request_clearance(*at, *digest, *upstream)),
            SuspectCommand::Ended {
                at,
                digest,
                completed,
            } => self.record_end(*at, *digest, *completed),
            SuspectCommand::Clear { digest } => drop(self.requests.shift_remove(digest)),
            SuspectCommand::Observed { at, events } => {
                for event in events {
                    self.observe(*at, event);
                }
            }
        }
        SuspectReply::Done
    }

    fn observe(&mut self, at: Time, event: &SuspectEvent) {
        match event {
            SuspectEvent::RunsLost {
                upstream,
                incarnation,
                runs,
            } => {
                self.remove_stale(at);
                let crash = self.observed_crash(at, *upstream, *incarnation);
                for digest in runs {
                    let suspect = self.requests.entry(*digest);
                    let suspect = suspect.or_insert_with(|| Suspect::new(at));
                    suspect.add_crash(at, crash);
                }
            }
            SuspectEvent::Completed(digest) => self.record_end(at, *digest, true),
        }
    }

    /// The crash of an upstream that was observed at `at`: one that other entries
    /// have reported, or a new one, numbered by its time in milliseconds.
    fn observed_crash(&self, at: Time, upstream: UpstreamId, incarnation: Incarnation) -> CrashId {
        let crashes = self.requests.values().flat_map(|suspect| &suspect.crashes);
        let known = crashes
            .filter(|(other, run, _)| (*other, *run) == (upstream, incarnation))
            .find(|(.., number)| {
                let reported = Time::from_millis(*number);
                at.since(reported).max(reported.since(at)) < MERGE_TIME
            });
        known
            .copied()
            .unwrap_or((upstream, incarnation, at.as_millis()))
    }

    fn record_crash(
        &mut self,
        at: Time,
        upstream: UpstreamId,
        crash: (Incarnation, u64),
        running: &[ContentDigest],
    ) {
        if self
            .crashes
            .get(&upstream)
            .is_some_and(|last| *last >= crash)
        {
            return;
        }
        self.crashes.insert(upstream, crash);
        self.remove_stale(at);
        let mut involved: Vec<_> = running.to_vec();
        involved.sort_unstable();
        involved.dedup();
        for digest in &involved {
            let suspect = self.requests.entry(*digest);
            let suspect = suspect.or_insert_with(|| Suspect::new(at));
            suspect.add_crash(at, (upstream, crash.0, crash.1));
            // A request that was running alone when it caused its second crash
            // is certainly the cause.
            suspect.confirmed |= involved.len() == 1 && suspect.strikes() >= ALONE_STRIKES;
            suspect.trial = None;
            suspect.seen = at;
        }
    }

    fn request_clearance(
        &mut self,
        at: Time,
        digest: ContentDigest,
        upstream: UpstreamId,
    ) -> Clearance {
        let Some(suspect) = self.requests.get(&digest) else {
            return Clearance::Unrestricted;
        };
        let strikes = suspect.strikes();
        if self.holds_back(at, digest.into(), suspect) {
            self.extend_quarantine(at, digest);
            return Clearance::Quarantined(self.cfg.quarantine_time);
        }
        let trial_upstream = |other: &Suspect| {
            let trial = other
                .trial
                .filter(|(_, since)| at.since(*since) < self.cfg.trial_timeout);
            trial.map(|(upstream, _)| upstream)
        };
        let upstream_taken = self
            .requests
            .values()
            .any(|other| trial_upstream(other) == Some(upstream));
        if upstream_taken || trial_upstream(suspect).is_some() {
            return Clearance::Wait;
        }
        if let Some(suspect) = self.requests.get_mut(&digest) {
            suspect.trial = Some((upstream, at));
            suspect.seen = at;
        }
        if strikes >= ALONE_STRIKES {
            Clearance::Exclusive
        } else {
            Clearance::OnlySuspect
        }
    }

    fn record_end(&mut self, at: Time, digest: ContentDigest, completed: bool) {
        if completed {
            self.requests.shift_remove(&digest);
        } else if let Some(suspect) = self.requests.get_mut(&digest) {
            suspect.trial = None;
            suspect.seen = at;
        }
    }

    /// Extends the quarantine of a request that was sent again.
    fn extend_quarantine(&mut self, at: Time, digest: ContentDigest) {
        if let Some(suspect) = self.requests.get_mut(&digest) {
            suspect.seen = at;
        }
    }

    fn holds_back(&self, now: Time, content: RequestContent, suspect: &Suspect) -> bool {
        let strikes = suspect.strikes();
        let convicted = suspect.confirmed
            || strikes > MAX_STRIKES
            || (strikes == MAX_STRIKES && !self.has_companion(content, suspect));
        convicted && now.since(suspect.seen) < suspect.quarantine_time(&self.cfg)
    }

    /// Whether another suspect was present at all crashes of this one.
    fn has_companion(&self, content: RequestContent, suspect: &Suspect) -> bool {
        let others = self.requests.iter();
        let mut others = others.filter(|(other, _)| !content.matches(**other));
        others.any(|(_, other)| {
            let mut crashes = suspect.crashes.iter();
            crashes.all(|crash| other.crashes.contains(crash))
        })
    }

    /// Removes suspects that were not seen for a long time. If there are too many,
    /// removes those with the fewest strikes, the oldest of them first.
    fn remove_stale(&mut self, now: Time) {
        let cfg = self.cfg;
        self.requests.retain(|_, suspect| {
            now.since(suspect.seen) < cfg.forget_after.max(suspect.quarantine_time(&cfg))
        });
        while self.requests.len() >= cfg.max_suspects as usize {
            let rank = |(_, suspect): &(usize, &Suspect)| (suspect.strikes(), suspect.seen);
            let least = self.requests.values().enumerate().min_by_key(rank);
            let Some((index, _)) = least else {
                return;
            };
            self.requests.swap_remove_index(index);
        }
    }
}
