//! Rates of requests.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Rate of requests, in thousandths of a request per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Largest rate, one request per microsecond.
    const MAX_PER_SECOND: f64 = 1e6;

    /// Creates a rate from requests per second; `None` if the number is negative
    /// or no number.
    #[must_use]
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        if per_second.is_nan() || per_second < 0.0 {
            return None;
        }
        let thousandths = per_second.min(Self::MAX_PER_SECOND) * 1e3;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Checked above.
        let rate = Self(thousandths as u64);
        Some(rate)
    }

    /// Requests in a period, in billionths of a request.
    #[must_use]
    pub fn billionths_in(self, period: Duration) -> u64 {
        let micros = u64::try_from(period.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_mul(micros)
    }

    /// Time between two requests; `None` for a rate of zero.
    #[must_use]
    pub fn interval(self) -> Option<Duration> {
        Some(Duration::from_micros(
            1_000_000_000_u64.checked_div(self.0)?,
        ))
    }
}

impl fmt::Display for RequestRate {
    /// Writes requests per second.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}
