//! Which connections lead to the incarnation of an upstream that an entry has selected.

use {
    super::UpstreamRun,
    indexmap::IndexMap,
    quay_types::{Incarnation, Time},
    std::time::Duration,
};

/// Time for which a report counts. An older connection is asked for another one.
const REPORT_TIME: Duration = Duration::from_mins(1);

/// Time for which an upstream that has named no incarnation is not asked again.
const UNNAMED_TIME: Duration = Duration::from_secs(1);

/// What a report says of the incarnation that an entry has selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportResult {
    /// The upstream is this incarnation.
    Named,
    /// The upstream is another incarnation, so this one has ended.
    Another,
    /// There was no report, or it names no incarnation.
    Unnamed,
}

impl ReportResult {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Named => "named",
            Self::Another => "another",
            Self::Unnamed => "unnamed",
        }
    }
}

/// Incarnations that upstreams have named in their reports.
///
/// An upstream that starts again under its id at its address is listed as its former
/// incarnation until its heartbeat arrives, and its responses don't tell the two apart. Its
/// report does. As only one process at a time accepts connections at an address, a report
/// holds for all connections that were set up before it was asked for.
#[derive(Debug, Default)]
pub struct NamedRuns {
    /// Time at which the latest report that names the incarnation was asked for.
    named: IndexMap<UpstreamRun, Time>,
    /// Time until which an upstream is not asked again.
    unnamed: IndexMap<UpstreamRun, Time>,
}

impl NamedRuns {
    /// Records what the upstream that was selected as `run` reported of itself when it was
    /// asked at `asked`: the incarnation that it names, if any.
    pub fn record_report(
        &mut self,
        now: Time,
        run: UpstreamRun,
        asked: Time,
        named: Option<Incarnation>,
    ) -> ReportResult {
        let result = match named {
            Some(named) if named == run.1 => ReportResult::Named,
            Some(_) => ReportResult::Another,
            None => ReportResult::Unnamed,
        };
        if result == ReportResult::Named {
            self.unnamed.swap_remove(&run);
            let latest = self.named.entry(run).or_default();
            *latest = asked.max(*latest);
        } else {
            self.unnamed.insert(run, now + UNNAMED_TIME);
        }
        result
    }

    /// Whether a connection that was set up at `connected` is known to lead to an
    /// incarnation.
    #[must_use]
    pub fn is_reached_by(&self, run: UpstreamRun, connected: Time) -> bool {
        self.named
            .get(&run)
            .is_some_and(|asked| connected <= *asked)
    }

    /// Whether an upstream may be asked for a report.
    #[must_use]
    pub fn may_ask(&self, now: Time, run: UpstreamRun) -> bool {
        self.unnamed.get(&run).is_none_or(|until| *until <= now)
    }

    /// Forgets what no longer counts.
    pub fn tick(&mut self, now: Time) {
        self.named.retain(|_, asked| *asked + REPORT_TIME > now);
        self.unnamed.retain(|_, until| *until > now);
    }
}
