//! Requests that may crash the upstreams that run them.
//!
//! A request is known by the digest of its content. Each crash is a strike for
//! every request that ran there. After the first strike a request runs as the
//! only suspect on its upstream, after the second alone, and the third
//! quarantines it. Only one run of a suspect is under way at a time, so one
//! poison request costs at most [`MAX_STRIKES`] upstreams once its first crash
//! is known, however often it is sent again and whatever else is poison; a
//! harmless request is cleared by the first run that it completes.

use {
    indexmap::IndexMap,
    quay_types::{ContentDigest, Incarnation, Time, UpstreamId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Crashes that quarantine a request.
const MAX_STRIKES: u8 = 3;

/// Strikes from which on a request runs alone.
const ALONE_STRIKES: u8 = 2;

/// Knobs of quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectSettings {
    /// How long a quarantine lasts after the request was last sent.
    pub quarantine_time: Duration,
    /// How long a run of a suspect may take before its place is given away.
    pub trial_timeout: Duration,
    /// How long a suspect that is not sent again is remembered.
    pub forget_after: Duration,
    /// Number of suspects that are remembered.
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

/// A command of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectCommand {
    /// An upstream crashed.
    Crashed {
        /// When.
        at: Time,
        /// The upstream.
        upstream: UpstreamId,
        /// Run of its sidecar.
        incarnation: Incarnation,
        /// Number of the crash within that run; a resent report counts once.
        crash: u64,
        /// What ran there.
        running: Box<[ContentDigest]>,
    },
    /// An entry asks for leave to run a request.
    RequestClearance {
        /// When.
        at: Time,
        /// The request.
        digest: ContentDigest,
        /// Where it is to run.
        upstream: UpstreamId,
    },
    /// A run that leave was given for has ended without a crash.
    Ended {
        /// When.
        at: Time,
        /// The request.
        digest: ContentDigest,
        /// Whether it ran to its end, which clears it.
        completed: bool,
    },
    /// An operator clears a request.
    Clear {
        /// The request.
        digest: ContentDigest,
    },
}

/// Clearance to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Clearance {
    /// The request is no suspect.
    Unrestricted,
    /// It may run as the only suspect on that upstream.
    OnlySuspect,
    /// It may run if nothing else does on that upstream.
    Exclusive,
    /// Another run of it, or another suspect on that upstream, has to end first.
    Wait,
    /// It may not run; the span tells when the quarantine lapses if it is not sent again.
    Quarantined(Duration),
}

/// Answer to a [`SuspectCommand`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectReply {
    /// The command was carried out, or had been before.
    Done,
    /// Answer to [`SuspectCommand::RequestClearance`].
    Clearance(Clearance),
}

/// One suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    strikes: u8,
    /// Where it runs under leave, and since when.
    trial: Option<(UpstreamId, Time)>,
    /// When it was last sent or struck.
    seen: Time,
}

/// All suspects; a state machine for the control group to replicate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRegistry {
    cfg: SuspectSettings,
    requests: IndexMap<ContentDigest, Suspect>,
    /// Latest crash of each upstream that was counted.
    crashes: IndexMap<UpstreamId, (Incarnation, u64)>,
}

impl SuspectRegistry {
    /// Nothing is suspected.
    #[must_use]
    pub fn new(cfg: SuspectSettings) -> Self {
        Self {
            cfg,
            requests: IndexMap::new(),
            crashes: IndexMap::new(),
        }
    }

    /// Whether a request needs leave: cheap to ask for each call, of a copy too.
    #[must_use]
    pub fn is_suspect(&self, digest: ContentDigest) -> bool {
        self.requests.contains_key(&digest)
    }

    /// Requests in quarantine at `now`, and when each was last seen.
    pub fn quarantined(&self, now: Time) -> impl Iterator<Item = (ContentDigest, Time)> {
        let held = self
            .requests
            .iter()
            .filter(move |(_, suspect)| self.is_quarantined(now, suspect));
        held.map(|(digest, suspect)| (*digest, suspect.seen))
    }

    /// Carries out a command.
    pub fn apply(&mut self, command: &SuspectCommand) -> SuspectReply {
        match command {
            SuspectCommand::Crashed {
                at,
                upstream,
                incarnation,
                crash,
                running,
            } => self.crashed(*at, *upstream, (*incarnation, *crash), running),
            SuspectCommand::RequestClearance {
                at,
                digest,
                upstream,
            } => return SuspectReply::Clearance(self.ask(*at, *digest, *upstream)),
            SuspectCommand::Ended {
                at,
                digest,
                completed,
            } => self.ended(*at, *digest, *completed),
            SuspectCommand::Clear { digest } => drop(self.requests.shift_remove(digest)),
        }
        SuspectReply::Done
    }

    fn crashed(
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
        self.forget(at);
        let mut struck: Vec<_> = running.to_vec();
        struck.sort_unstable();
        struck.dedup();
        for digest in &struck {
            let suspect = self.requests.entry(*digest).or_insert(Suspect {
                strikes: 0,
                trial: None,
                seen: at,
            });
            // A request that crashes an upstream with nothing beside it twice is sure.
            let sure = struck.len() == 1 && suspect.strikes + 1 >= ALONE_STRIKES;
            suspect.strikes = if sure {
                MAX_STRIKES
            } else {
                (suspect.strikes + 1).min(MAX_STRIKES)
            };
            suspect.trial = None;
            suspect.seen = at;
        }
    }

    fn ask(&mut self, at: Time, digest: ContentDigest, upstream: UpstreamId) -> Clearance {
        let Some(suspect) = self.requests.get(&digest).copied() else {
            return Clearance::Unrestricted;
        };
        if self.is_quarantined(at, &suspect) {
            self.touch(at, digest);
            return Clearance::Quarantined(self.cfg.quarantine_time);
        }
        let busy = |other: &Suspect| {
            let trial = other
                .trial
                .filter(|(_, since)| at.since(*since) < self.cfg.trial_timeout);
            trial.map(|(place, _)| place)
        };
        let taken = self
            .requests
            .values()
            .any(|other| busy(other) == Some(upstream));
        if taken || busy(&suspect).is_some() {
            return Clearance::Wait;
        }
        if let Some(suspect) = self.requests.get_mut(&digest) {
            suspect.trial = Some((upstream, at));
            suspect.seen = at;
        }
        if suspect.strikes >= ALONE_STRIKES {
            Clearance::Exclusive
        } else {
            Clearance::OnlySuspect
        }
    }

    fn ended(&mut self, at: Time, digest: ContentDigest, completed: bool) {
        if completed {
            self.requests.shift_remove(&digest);
        } else if let Some(suspect) = self.requests.get_mut(&digest) {
            suspect.trial = None;
            suspect.seen = at;
        }
    }

    /// Sending a quarantined request again keeps it in quarantine.
    fn touch(&mut self, at: Time, digest: ContentDigest) {
        if let Some(suspect) = self.requests.get_mut(&digest) {
            suspect.seen = at;
        }
    }

    fn is_quarantined(&self, now: Time, suspect: &Suspect) -> bool {
        suspect.strikes >= MAX_STRIKES && now.since(suspect.seen) < self.cfg.quarantine_time
    }

    /// Forgets suspects that were not sent for long, and the oldest if there are too many.
    fn forget(&mut self, now: Time) {
        let cfg = self.cfg;
        self.requests
            .retain(|_, suspect| now.since(suspect.seen) < cfg.forget_after);
        while self.requests.len() >= cfg.max_suspects as usize {
            let weak = |suspect: &Suspect| suspect.strikes < MAX_STRIKES;
            let oldest = self.requests.values().position(weak).unwrap_or_default();
            self.requests.shift_remove_index(oldest);
        }
    }
}
