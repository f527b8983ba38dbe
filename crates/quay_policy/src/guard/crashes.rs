//! Detection of upstreams whose process has ended.
//!
//! A broken connection is no crash: connections are reset, links are cut, callers
//! leave, and upstreams break off single responses. A run counts as lost by a
//! crash only if there is evidence that the incarnation has ended: no connection
//! to its address can be set up, another incarnation or upstream is announced
//! there, or another upstream answers there.
//!
//! A connection that can be set up proves nothing, since a successor may have
//! taken over the address. Its first heartbeat may come seconds later, so a loss
//! stays open until there is evidence that the incarnation has ended or lives on.

use {
    super::UpstreamRun,
    crate::SuspectEvent,
    indexmap::{IndexMap, IndexSet},
    quay_types::{ContentDigest, RequestContent, Time},
    std::time::Duration,
};

/// Settings of crash detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashSettings {
    /// Time after the loss of a run within which evidence counts that the upstream
    /// has ended: a restart, and the delay of its successor's first heartbeat.
    pub evidence_window: Duration,
    /// Silence of an upstream that is running requests after which it is checked.
    pub max_silence: Duration,
    /// Maximum number of lost runs that are remembered for one upstream.
    pub max_lost: usize,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            evidence_window: Duration::from_secs(15),
            max_silence: Duration::from_secs(1),
            max_lost: 256,
        }
    }
}

/// How a run on an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The upstream answered with success, which shows that the request is
    /// harmless.
    Completed,
    /// The upstream answered otherwise, or the request was not sent to it. An
    /// upstream that fails requests answers a deadly one, too.
    Answered,
    /// The connection broke, or the answer was incomplete.
    Lost,
    /// The caller left or the deadline passed before the answer.
    Abandoned,
}

impl RunEnd {
    /// End of a run whose response was read to its end; `framed` tells whether the
    /// response shows its own end. An upstream that ends closes the connection,
    /// which ends a response without a length, too.
    #[must_use]
    pub const fn of_response(succeeded: bool, framed: bool) -> Self {
        match (framed, succeeded) {
            (true, true) => Self::Completed,
            (true, false) => Self::Answered,
            (false, _) => Self::Abandoned,
        }
    }

    /// Whether the upstream has shown that it survived the run.
    #[must_use]
    pub const fn is_answer(self) -> bool {
        matches!(self, Self::Completed | Self::Answered)
    }
}

/// Result of an attempt to connect to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// A connection was set up.
    Reachable,
    /// The connection was refused: no process listens at the address.
    Refused,
    /// There was no answer.
    TimedOut,
    /// The attempt failed on this host, or this host may be cut off.
    Unknown,
}

/// An upstream that runs requests of this entry, or lately did.
#[derive(Debug, Default)]
struct Watched {
    /// Requests in progress, with the times at which they were sent.
    running: Vec<(Time, ContentDigest)>,
    /// Runs that were lost or abandoned while it is open whether the incarnation
    /// has ended; at most [`CrashSettings::max_lost`].
    lost: Vec<(Time, ContentDigest)>,
    /// Whether a run was lost since the last check.
    suspected: bool,
    /// Start of the check in progress.
    checking: Option<Time>,
    /// Time of the last data from the upstream, or of the first request after a
    /// time without any in progress.
    heard: Time,
    /// Whether the incarnation has ended.
    ended: bool,
}

/// Finds the upstreams that have ended, and the runs that each of them lost, at
/// one entry.
#[derive(Debug, Default)]
pub struct CrashDetector {
    cfg: CrashSettings,
    watched: IndexMap<UpstreamRun, Watched>,
    /// Runs lost by crashes, not yet taken.
    events: Vec<SuspectEvent>,
}

impl CrashDetector {
    // -----------------------------------------------------------------------
    // Runs

    /// Records that a request is sent to an upstream.
    pub fn begin(&mut self, now: Time, upstream: UpstreamRun, digest: ContentDigest) {
        let watched = self.watched.entry(upstream).or_default();
        if watched.running.is_empty() {
            watched.heard = now;
        }
        watched.running.push((now, digest));
    }

    /// Records data from an upstream, which shows that it runs.
    pub fn hear(&mut self, now: Time, upstream: UpstreamRun) {
        if let Some(watched) = self.watched.get_mut(&upstream) {
            watched.heard = now;
            watched.ended = false;
        }
    }

    /// Records a response to a request that was sent at `sent`, on a connection that
    /// was set up at `connected`. An incarnation that accepted the connection before a
    /// loss and answers a request sent after it has survived the loss.
    pub fn record_answer(&mut self, upstream: UpstreamRun, connected: Time, sent: Time) {
        if let Some(watched) = self.watched.get_mut(&upstream) {
            watched
                .lost
                .retain(|(at, _)| *at <= connected || sent <= *at);
        }
    }

    /// Records the end of a run.
    pub fn end(&mut self, now: Time, upstream: UpstreamRun, digest: ContentDigest, end: RunEnd) {
        let cfg = self.cfg;
        let Some(watched) = self.watched.get_mut(&upstream) else {
            return;
        };
        let mut running = watched.running.iter();
        let Some(index) = running.position(|(_, it)| *it == digest) else {
            return;
        };
        let (began, _) = watched.running.swap_remove(index);
        if end.is_answer() {
            return;
        }
        // An upstream that sent nothing since the request may have ended unseen.
        watched.suspected |= end == RunEnd::Lost || watched.heard <= began;
        if watched.lost.len() < cfg.max_lost {
            watched.lost.push((now, digest));
        }
        if watched.ended {
            self.record_ended(now, upstream);
        }
    }

    // -----------------------------------------------------------------------
    // Evidence

    /// Upstreams that must be checked now: those that lost a run, or sent nothing
    /// before one was abandoned, and those that are silent although they run
    /// requests. The caller reports each result to
    /// [`record_check`](Self::record_check).
    pub fn due_checks(&mut self, now: Time) -> Vec<UpstreamRun> {
        let cfg = self.cfg;
        let due = self.watched.iter_mut().filter_map(|(upstream, watched)| {
            let silent = !watched.running.is_empty() && now.since(watched.heard) >= cfg.max_silence;
            if watched.checking.is_some() || watched.ended || !(watched.suspected || silent) {
                return None;
            }
            watched.checking = Some(now);
            watched.suspected = false;
            Some(*upstream)
        });
        due.collect()
    }

    /// Whether an upstream that lost a run is being checked, or is due to be.
    #[must_use]
    pub fn checks_pending(&self) -> bool {
        let mut watched = self.watched.values();
        watched.any(|it| it.checking.is_some() || (it.suspected && !it.ended))
    }

    /// Number of upstreams that lost a run of the request and are being checked, or are
    /// due to be.
    #[must_use]
    pub fn undecided(&self, content: impl Into<RequestContent>) -> usize {
        let content = content.into();
        let undecided = self.watched.values().filter(|it| {
            let pending = it.checking.is_some() || (it.suspected && !it.ended);
            pending && it.lost.iter().any(|(_, lost)| content.matches(*lost))
        });
        undecided.count()
    }

    /// Records the result of a check.
    pub fn record_check(&mut self, now: Time, upstream: UpstreamRun, result: CheckResult) {
        let Some(watched) = self.watched.get_mut(&upstream) else {
            return;
        };
        let began = watched.checking.take();
        let ended = match result {
            CheckResult::Refused => true,
            CheckResult::TimedOut => began.is_some_and(|began| watched.heard <= began),
            CheckResult::Reachable | CheckResult::Unknown => false,
        };
        if ended {
            // A host that was paused meanwhile still counts the runs lost before.
            self.record_ended(began.unwrap_or(now), upstream);
        } else {
            // The next check of a silent upstream is due after the same time.
            watched.heard = now;
        }
    }

    /// Records that an incarnation has ended, and the runs that it lost.
    pub fn record_ended(&mut self, now: Time, upstream: UpstreamRun) {
        let window = self.cfg.evidence_window;
        let Some(watched) = self.watched.get_mut(&upstream) else {
            return;
        };
        watched.ended = true;
        let lost = watched.lost.drain(..);
        let lost = lost.filter(|(at, _)| now.since(*at) < window);
        let runs = lost.chain(watched.running.iter().copied());
        let runs: IndexSet<_> = runs.map(|(_, digest)| digest).collect();
        if !runs.is_empty() {
            self.events.push(SuspectEvent::RunsLost {
                upstream: upstream.0,
                incarnation: upstream.1,
                runs: runs.into_iter().collect(),
            });
        }
    }

    /// Takes the runs that were found to be lost by crashes.
    pub fn take_events(&mut self) -> Vec<SuspectEvent> {
        std::mem::take(&mut self.events)
    }

    /// Forgets upstreams without requests in progress and without lost runs for
    /// which evidence may still come.
    pub fn tick(&mut self, now: Time) {
        let window = self.cfg.evidence_window;
        self.watched.retain(|_, watched| {
            if watched.checking.is_none() {
                watched.lost.retain(|(at, _)| now.since(*at) < window);
            }
            !watched.running.is_empty() || !watched.lost.is_empty() || watched.checking.is_some()
        });
    }
}
