//! Crashes of upstreams: which runs a front lost by them, and which requests it
//! refuses for them.

use {
    super::{FOLLOW_RETRY_DELAY, FrontHost},
    crate::{
        gateway::{
            front::{connections::check_result, upstreams::SelectedUpstream},
            messages::{ControlReply, ControlRequest},
            meters,
        },
        process::Clock,
    },
    quay_policy::{CheckResult, RunEnd, SuspectEvent, UpstreamRun},
    quay_routes::Dialect,
    quay_types::{ContentDigest, RequestContent, Time},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, sleep, timeout, timeout_at},
    },
};

/// Time-out for a report of lost runs to the control group.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before an upstream that lost a run is checked: a process that ends closes
/// its connections one after the other, and the listening socket among them.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// Longest time for which a request waits for checks: the delay of a check, and its
/// time-out.
const MAX_CHECK_TIME: Duration = Duration::from_millis(500);

/// Maximum time for which a front that shuts down waits for its reports.
pub(super) const FLUSH_TIME: Duration = Duration::from_millis(2_500);

/// Interval between two checks for unacknowledged reports at shutdown.
const FLUSH_INTERVAL: Duration = Duration::from_millis(10);

impl<D: Dialect> FrontHost<D> {
    /// Whether a request must not run, since its content crashes upstreams.
    pub fn is_quarantined(&self, content: RequestContent) -> bool {
        let suspects = self.0.suspects.borrow();
        suspects.is_quarantined(Self::unix_time(), content)
    }

    /// Waits until the upstreams that lost runs of a request are checked, if it would be
    /// quarantined were all of them found to have ended; until `ends` at most. Otherwise
    /// a caller that sends it again at once finds one upstream after the other.
    pub async fn wait_for_checks(&self, content: RequestContent, ends: Time) {
        let limit = ends.since(self.now()).min(MAX_CHECK_TIME);
        let decided = async {
            loop {
                let checked = self.0.checked.notified();
                if !self.awaits_checks(content) {
                    return;
                }
                checked.await;
            }
        };
        if timeout(limit, decided).await.is_err() {
            log::info!("event=check_late content={}", content.own);
        }
    }

    fn awaits_checks(&self, content: RequestContent) -> bool {
        let undecided = self.upstreams().crashes().undecided(content);
        let suspects = self.0.suspects.borrow();
        suspects.may_be_quarantined_with(content, undecided)
    }

    /// Time of the suspects, which processes share.
    pub(super) fn unix_time() -> Time {
        Time::from_millis(Clock::wall_ms())
    }

    /// Records that a request is sent to an upstream.
    pub fn begin_run(&self, upstream: &SelectedUpstream, content: ContentDigest) {
        let now = self.now();
        let mut upstreams = self.upstreams();
        upstreams.crashes().begin(now, upstream.run(), content);
    }

    /// Records the end of a run: clears its content if it completed, and checks the
    /// upstream if the run was lost.
    pub fn end_run(&self, upstream: &SelectedUpstream, content: RequestContent, end: RunEnd) {
        let now = self.now();
        let mut upstreams = self.upstreams();
        upstreams
            .crashes()
            .end(now, upstream.run(), content.own, end);
        drop(upstreams);
        if end == RunEnd::Completed {
            self.record_completed(content);
        }
        if !end.is_answer() {
            self.check_upstreams();
            self.record_lost_runs();
        }
    }

    /// Clears a request, also as what it was under another account of its caller.
    fn record_completed(&self, content: RequestContent) {
        let suspects = self.0.suspects.borrow().suspects_of(content);
        for digest in suspects {
            log::info!("event=suspect_cleared content={digest}");
            self.record_event(SuspectEvent::Completed(digest));
        }
    }

    /// Records that an incarnation of an upstream has ended.
    pub fn record_ended(&self, upstream: &SelectedUpstream) {
        let now = self.now();
        self.upstreams().record_ended(now, upstream.run());
        self.record_lost_runs();
    }

    /// Records that no connection to an upstream could be set up.
    pub fn record_unreachable(&self, upstream: &SelectedUpstream, err: &io::Error) {
        let now = self.now();
        self.upstreams().suspend(now, upstream.run());
        if check_result(err) == CheckResult::Refused {
            self.record_ended(upstream);
        }
    }

    /// Starts the checks of upstreams that are due.
    pub(super) fn check_upstreams(&self) {
        let now = self.now();
        let due = self.upstreams().due_checks(now);
        for (run, addr) in due {
            spawn_local(self.clone().check_upstream(run, addr));
        }
    }

    async fn check_upstream(self, run: UpstreamRun, addr: SocketAddr) {
        sleep(CHECK_DELAY).await;
        let mut result = self.0.connections.check(addr).await;
        let now = self.now();
        if result == CheckResult::TimedOut && !self.control_is_fresh(now) {
            // This front may be the one that is cut off.
            result = CheckResult::Unknown;
        }
        log::info!(
            "event=upstream_checked upstream={} run={} result={result:?}",
            self.upstreams().name(run.0),
            run.1
        );
        self.upstreams().record_check(now, run, result);
        self.record_lost_runs();
        self.0.checked.notify_waiters();
    }

    /// Records the runs that were found to be lost by crashes.
    pub(super) fn record_lost_runs(&self) {
        let events = self.upstreams().crashes().take_events();
        for event in events {
            if let SuspectEvent::RunsLost {
                upstream,
                incarnation,
                runs,
            } = &event
            {
                let runs: Vec<String> = runs.iter().map(ToString::to_string).collect();
                let runs = runs.join(",");
                let upstream = self.upstreams().name(*upstream);
                meters::record_upstream_crash();
                log::info!(
                    "event=upstream_crashed upstream={upstream} run={incarnation} lost={runs}"
                );
            }
            self.record_event(event);
        }
    }

    fn record_event(&self, event: SuspectEvent) {
        let kept = self
            .0
            .suspects
            .borrow_mut()
            .record(Self::unix_time(), event);
        if !kept {
            log::warn!("event=report_dropped cause=\"too many wait for the control group\"");
        }
        self.0.report.notify_one();
    }

    /// Waits until the control group has acknowledged the crashes that this front
    /// saw, until `ends` at most.
    pub(super) async fn flush_reports(&self, ends: Instant) {
        let flushed = async {
            while self.upstreams().crashes().checks_pending()
                || self.0.suspects.borrow().next_report().is_some()
            {
                sleep(FLUSH_INTERVAL).await;
            }
        };
        if timeout_at(ends, flushed).await.is_err() {
            log::warn!("event=report_dropped cause=\"the process ends\"");
        }
    }

    /// Reports lost runs and cleared suspects to the control group, in a loop.
    pub(super) async fn report_runs(self) {
        loop {
            let events = self.0.suspects.borrow().next_report();
            let Some(events) = events else {
                self.0.report.notified().await;
                continue;
            };
            let count = events.len();
            let req = ControlRequest::ReportRuns(events);
            match self.0.control.request(req, REPORT_TIMEOUT).await {
                Some(ControlReply::Done) => self.0.suspects.borrow_mut().acknowledge(count),
                _ => sleep(FOLLOW_RETRY_DELAY).await,
            }
        }
    }
}
