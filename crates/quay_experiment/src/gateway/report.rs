//! What callers got.

use {super::engine::TokensRead, serde::Serialize, std::fmt};

/// Share of the programs of a second that end in time at a usual load.
const USUAL: f64 = 0.95;

/// Programs by their outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All.
    pub asked: u32,
    /// Those that ended by their aim.
    pub in_time: u32,
    /// Those that ended within twice that time.
    pub late: u32,
    /// Those that were refused at their beginning.
    pub refused: u32,
    /// All others.
    pub failed: u32,
}

impl Counts {
    /// Share of the programs that ended in time, where a late one counts half.
    #[must_use]
    pub fn worth(&self) -> f64 {
        let worth = f64::from(self.in_time) + f64::from(self.late) / 2.0;
        worth / f64::from(self.asked.max(1))
    }
}

/// Results of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct WorldReport {
    /// All programs.
    pub total: Counts,
    /// Programs by the second in which they begin.
    pub by_second: Vec<Counts>,
    /// Prompt tokens read: shared beginnings, conversations once more, and new ones.
    pub shared_tokens: u64,
    /// See [`Self::shared_tokens`].
    pub again_tokens: u64,
    /// See [`Self::shared_tokens`].
    pub new_tokens: u64,
    /// Requests at the busiest upstream over their mean.
    pub busiest: f64,
    /// Seconds after the burst until programs end in time as usual.
    pub after_burst_s: Option<u64>,
    /// Seconds after the outage until programs end in time as usual.
    pub after_outage_s: Option<u64>,
}

impl WorldReport {
    pub(super) fn set_tokens(&mut self, tokens: TokensRead) {
        self.shared_tokens = tokens.shared;
        self.again_tokens = tokens.again;
        self.new_tokens = tokens.new;
    }

    /// Seconds from `end_s` until no later second is below the usual share.
    pub(super) fn recovery_s(&self, end_s: f64) -> u64 {
        let below = self.by_second.iter().rposition(|it| it.worth() < USUAL);
        let below = below.map_or(0.0, |second| second as f64 + 1.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Positive.
        let seconds = (below - end_s).max(0.0).ceil() as u64;
        seconds
    }
}

impl fmt::Display for WorldReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "second   asked in_time    late refused  failed   worth")?;
        let line = |f: &mut fmt::Formatter<'_>, name: &str, it: &Counts| {
            writeln!(
                f,
                "{name:<6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7.3}",
                it.asked,
                it.in_time,
                it.late,
                it.refused,
                it.failed,
                it.worth()
            )
        };
        for (second, counts) in self.by_second.iter().enumerate() {
            line(f, &second.to_string(), counts)?;
        }
        line(f, "all", &self.total)?;
        writeln!(
            f,
            "prompt tokens read, in thousands: shared {}, conversations again {}, new {}",
            self.shared_tokens / 1_000,
            self.again_tokens / 1_000,
            self.new_tokens / 1_000
        )?;
        writeln!(f, "busiest upstream over the mean: {:.3}", self.busiest)?;
        if let Some(seconds) = self.after_burst_s {
            writeln!(f, "usual again after the burst: {seconds} s")?;
        }
        if let Some(seconds) = self.after_outage_s {
            writeln!(f, "usual again after the outage: {seconds} s")?;
        }
        Ok(())
    }
}
