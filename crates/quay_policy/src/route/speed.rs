//! Speeds of services and of their upstreams, learned from responses.

use {
    super::PER_MILLE,
    crate::RouteSettings,
    quay_types::Time,
    std::{ops::RangeInclusive, time::Duration},
};

/// Number of responses after which a sample has lost most of its weight in the
/// fits of a service.
const FIT_MEMORY: f64 = 512.0;

/// Number of responses before a service counts as measured.
const MIN_RESPONSES: f64 = 8.0;

/// Variance of the number of running requests below which their effect cannot
/// be told from noise.
const MIN_RUNNING_VARIANCE: f64 = 1.0;

/// Variance of the prompt tokens that were not held, below which their effect
/// cannot be told from noise: prompts that differ by some hundred tokens.
const MIN_TOKENS_VARIANCE: f64 = 1e5;

/// Maximum quotient of an upstream's and its service's speed.
const MAX_QUOTIENT: f64 = 16.0;

/// Maximum quotient of the learned and the neutral time of a prompt token,
/// compared with an answer. The known engines are at 0.5 to 1; a time far too
/// small would send turns away from the upstreams that hold their prompts.
const MAX_PREFILL_QUOTIENT: f64 = 2.0;

/// A sample counts at most as this multiple of the expected time, so that one
/// stalled response does not change the speed of a service.
const MAX_SAMPLE: f64 = 4.0;

/// Weight of a response in the long-term speed of an upstream is 1 /
/// `PACE_MEMORY`: many phases of 600 ms, since consecutive responses often fall
/// into the same one.
const PACE_MEMORY: f64 = 32.0;

/// Number of responses that the initial speed of an upstream, its service's,
/// counts as.
const PACE_PRIOR: f64 = 2.0;

/// Weight of a report in the usual slowdown of an upstream is 1 /
/// `USUAL_MEMORY`: many phases of 600 ms.
const USUAL_MEMORY: i64 = 32;

/// Slowdowns that are taken as reported, in percent; others are clamped.
const SLOWDOWN_RANGE: RangeInclusive<u32> = 10..=2_000;

/// Nanoseconds of a thousandth of a second.
const NANOS_PER_MILLE: u64 = 1_000_000;

/// Measured times of one complete response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseTimes {
    /// Prompt tokens that the upstream was expected not to hold; 0 if the
    /// request has no prompt.
    pub uncached_tokens: u64,
    /// Whether the upstream was expected to hold the beginning of the prompt.
    pub holds_beginning: bool,
    /// Time from sending the request to the first event.
    pub first: Duration,
    /// Time from the first event to the last.
    pub rest: Duration,
    /// Number of events; 1 for a response that is not a stream.
    pub events: u32,
    /// Requests running and waiting at the upstream when the response began, if
    /// it says.
    pub load: Option<(u32, u32)>,
}

impl ResponseTimes {
    /// Time between events; `None` if it was not measured. A response that
    /// needs no prompt and has one event consists of that event's time.
    fn event_time(&self) -> Option<Duration> {
        match self.events {
            0 => None,
            1 => (self.uncached_tokens == 0).then_some(self.first),
            events => Some(self.rest / (events - 1)),
        }
    }
}

/// Speed of a service, in the units of a cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Speed {
    /// Time to prefill a prompt token, in nanoseconds.
    pub prefill_ns: u64,
    /// Time of a complete answer on an idle upstream, in nanoseconds.
    pub answer_ns: u64,
    /// Time that each running request adds to an answer, in nanoseconds.
    pub per_running_ns: u64,
}

/// Fit of `y = base + slope * x` by least squares, with exponential forgetting.
#[derive(Debug, Clone, Copy, Default)]
struct LineFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LineFit {
    fn add(&mut self, x: f64, y: f64) {
        let keep = 1.0 - 1.0 / FIT_MEMORY;
        self.weight = self.weight * keep + 1.0;
        self.x = self.x * keep + x;
        self.y = self.y * keep + y;
        self.xx = self.xx * keep + x * x;
        self.xy = self.xy * keep + x * y;
    }

    fn is_measured(&self) -> bool {
        self.weight >= MIN_RESPONSES
    }

    fn means(&self) -> (f64, f64) {
        let weight = self.weight.max(1.0);
        (self.x / weight, self.y / weight)
    }

    /// Slope, if `x` varies by at least `min_variance`.
    fn slope(&self, min_variance: f64) -> Option<f64> {
        let (x, y) = self.means();
        let weight = self.weight.max(1.0);
        let variance = self.xx / weight - x * x;
        let known = self.is_measured() && variance >= min_variance;
        known.then(|| (self.xy / weight - x * y) / variance)
    }
}

/// Speed of a service, learned from the responses of all its upstreams.
///
/// A figure that cannot be told yet keeps its ratio in the settings to those
/// that are known, so that all costs have one scale.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceSpeed {
    /// Time between events, in seconds, against other running requests. Both are
    /// differences from the means of the upstream: faster upstreams run more
    /// requests, which would hide the effect of these.
    events: LineFit,
    /// Time before the first event's own time, in seconds, against prompt
    /// tokens that were not held.
    first: LineFit,
    /// The same for prompts whose beginning was held: what else the upstream
    /// holds of these is known better.
    known_first: LineFit,
    /// Whether the service has answered with streams.
    streams: bool,
    responses: f64,
    /// Mean number of events of a response.
    answer_events: f64,
    /// Mean time between events, in seconds.
    mean_event: f64,
    /// Mean number of other running requests.
    mean_others: f64,
    /// Time between events without other requests, and time that each of these
    /// adds, in seconds.
    event: f64,
    per_running: f64,
    /// Time to prefill a token, in seconds.
    prefill: f64,
}

impl ServiceSpeed {
    /// A speed that is not measured yet.
    pub(super) fn new() -> Self {
        Self {
            events: LineFit::default(),
            first: LineFit::default(),
            known_first: LineFit::default(),
            streams: false,
            responses: 0.0,
            answer_events: 0.0,
            mean_event: 0.0,
            mean_others: 0.0,
            event: 0.0,
            per_running: 0.0,
            prefill: 0.0,
        }
    }

    /// The speed, once enough responses have been measured.
    pub(super) fn speed(&self) -> Option<Speed> {
        (self.responses >= MIN_RESPONSES).then(|| Speed {
            prefill_ns: nanos(self.prefill),
            answer_ns: nanos(self.answer_events * self.event),
            per_running_ns: nanos(self.answer_events * self.per_running),
        })
    }

    /// Records the time between the events of a response that ran beside `others`
    /// on an upstream with these means.
    fn record_event(&mut self, cfg: &RouteSettings, event: f64, others: f64, means: (f64, f64)) {
        let expected = self.mean_event;
        let event = if self.responses >= MIN_RESPONSES {
            event.min(expected * MAX_SAMPLE)
        } else {
            event
        };
        self.responses += 1.0;
        let memory = self.responses.min(FIT_MEMORY);
        self.mean_event += (event - self.mean_event) / memory;
        self.mean_others += (others - self.mean_others) / memory;
        let (mean_event, mean_others) = means;
        let scale = self.mean_event / mean_event.max(f64::MIN_POSITIVE);
        let difference = (event - mean_event) * scale;
        self.events.add(others - mean_others, difference);
        let slope = self.events.slope(MIN_RUNNING_VARIANCE);
        let neutral = ratio(cfg.per_running_us, cfg.token_gap_us);
        self.per_running = match slope {
            // At least half of the time is spent without others.
            Some(slope) => slope.clamp(0.0, self.mean_event / self.mean_others.max(1.0) / 2.0),
            None => self.mean_event / (1.0 / neutral + self.mean_others),
        };
        self.event = self.mean_event - self.per_running * self.mean_others;
    }

    /// Records the time that a response took before the time of its first event.
    fn record_first(&mut self, before: f64, times: &ResponseTimes) {
        let tokens = u32::try_from(times.uncached_tokens).unwrap_or(u32::MAX);
        let tokens = f64::from(tokens);
        let (_, mean) = self.first.means();
        let limit = mean.max(self.prefill * tokens) * MAX_SAMPLE + self.event;
        self.first.add(tokens, before.min(limit));
        if times.holds_beginning {
            self.known_first.add(tokens, before.min(limit));
        }
    }

    fn fit_prefill(&mut self, cfg: &RouteSettings) {
        // The settings state the time of a token, of which an event may hold
        // many; the answer as a whole is what the costs compare.
        let answer = self.answer_events * self.event;
        let neutral = answer * ratio(cfg.prefill_us, cfg.token_gap_us * cfg.answer_tokens);
        // An upstream may hold a prompt that another front has sent, which makes
        // a fit too small.
        let slopes = [self.first, self.known_first].map(|it| it.slope(MIN_TOKENS_VARIANCE));
        let slope = slopes.into_iter().flatten().reduce(f64::max);
        let range = (
            neutral / MAX_PREFILL_QUOTIENT,
            neutral * MAX_PREFILL_QUOTIENT,
        );
        self.prefill = slope.unwrap_or(neutral).clamp(range.0, range.1);
    }
}

/// Long-term and current speed of one upstream, compared with its service.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamSpeed {
    /// Long-term time of work compared with the service's mean, in thousandths,
    /// at the usual slowdown.
    long_term: u64,
    responses: f64,
    /// Mean time between events, in seconds.
    mean_event: f64,
    /// Mean number of other running requests.
    mean_others: f64,
    /// Mean of the reported slowdowns, in thousandths of a percent.
    usual: i64,
    /// Latest reported slowdown in percent, and the time of the report.
    current: Option<(Time, u32)>,
    /// Time at which a request was last sent or a response measured.
    last_activity: Time,
}

impl Default for UpstreamSpeed {
    fn default() -> Self {
        Self {
            long_term: PER_MILLE,
            responses: 0.0,
            mean_event: 0.0,
            mean_others: 0.0,
            usual: 100_000,
            current: None,
            last_activity: Time::ZERO,
        }
    }
}

impl UpstreamSpeed {
    /// Whether the long-term speed has been measured.
    pub(super) fn is_measured(&self) -> bool {
        self.responses >= PACE_PRIOR
    }

    /// Records that a request was sent.
    pub(super) fn sent(&mut self, now: Time) {
        self.last_activity = now;
    }

    /// Records a load report, with the slowdown that it states, if any.
    pub(super) fn report(&mut self, at: Time, slowdown: Option<u32>) {
        if self.current.is_some_and(|(known, _)| known > at) {
            return;
        }
        let range = SLOWDOWN_RANGE;
        self.current = slowdown.map(|it| (at, it.clamp(*range.start(), *range.end())));
        if let Some((_, percent)) = self.current {
            self.usual += (i64::from(percent) * 1_000 - self.usual) / USUAL_MEMORY;
        }
    }

    /// Records a complete response that ran beside `others`; `waited` tells
    /// whether it may have waited for a slot.
    pub(super) fn record(
        &mut self,
        cfg: &RouteSettings,
        service: &mut ServiceSpeed,
        now: Time,
        times: &ResponseTimes,
        (others, waited): (u32, bool),
    ) {
        self.last_activity = now;
        if times.events > 1 && !service.streams {
            // The time of a complete response says nothing about events.
            *service = ServiceSpeed::new();
            service.streams = true;
        } else if times.events == 1 && service.streams {
            return;
        }
        let Some(event) = times.event_time() else {
            return;
        };
        let (event, others) = (event.as_secs_f64(), f64::from(others));
        self.responses += 1.0;
        let memory = self.responses.min(PACE_MEMORY);
        let limit = self.mean_event * MAX_SAMPLE;
        let event = if self.responses > PACE_PRIOR {
            event.min(limit)
        } else {
            event
        };
        self.mean_event += (event - self.mean_event) / memory;
        self.mean_others += (others - self.mean_others) / memory;
        let answer_memory = (service.responses + 1.0).min(FIT_MEMORY);
        service.answer_events += (f64::from(times.events) - service.answer_events) / answer_memory;
        service.record_event(cfg, event, others, (self.mean_event, self.mean_others));
        let expected = service.event + service.per_running * self.mean_others;
        let quotient = self.mean_event / expected.max(f64::MIN_POSITIVE);
        let pace = (quotient * memory + PACE_PRIOR) / (memory + PACE_PRIOR);
        let pace = pace.clamp(1.0 / MAX_QUOTIENT, MAX_QUOTIENT);
        self.long_term = nanos(pace) / NANOS_PER_MILLE;
        let before = times.first.as_secs_f64() - event;
        if times.events > 1 && !waited && before > 0.0 {
            service.record_first(before / pace, times);
        }
        service.fit_prefill(cfg);
    }

    /// Time of work at this moment compared with the service's mean, in
    /// thousandths.
    ///
    /// An upstream that is far slower than the others gets no requests, so its
    /// long-term speed expires like a bad rating.
    pub(super) fn pace(&self, cfg: &RouteSettings, now: Time) -> u64 {
        let inactive = now.since(self.last_activity) >= cfg.probe_interval;
        let long_term = if inactive && self.long_term >= cfg.slow_threshold {
            PER_MILLE
        } else {
            self.long_term
        };
        long_term * self.current_permille(cfg, now) / PER_MILLE
    }

    /// Current slowdown compared with the usual, in thousandths, weighted by its
    /// age.
    fn current_permille(&self, cfg: &RouteSettings, now: Time) -> u64 {
        let Some((at, percent)) = self.current else {
            return PER_MILLE;
        };
        let left = cfg.slowdown_fade.saturating_sub(now.since(at));
        if left.is_zero() {
            return PER_MILLE;
        }
        let fade = cfg.slowdown_fade.as_micros();
        let weight = left.as_micros() * u128::from(cfg.slowdown_weight) / fade;
        let weight = i64::try_from(weight).unwrap_or_default();
        let difference = i64::from(percent) * 1_000 - self.usual;
        let faded = self.usual + difference * weight / 1_000;
        u64::try_from(faded * 1_000 / self.usual.max(1)).unwrap_or_default()
    }
}

fn ratio(numerator: u64, denominator: u64) -> f64 {
    fraction(numerator.max(1), denominator.max(1))
}

fn fraction(numerator: u64, denominator: u64) -> f64 {
    Duration::from_micros(numerator).as_secs_f64()
        / Duration::from_micros(denominator).as_secs_f64()
}

fn nanos(seconds: f64) -> u64 {
    let time = Duration::try_from_secs_f64(seconds).unwrap_or_default();
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}
