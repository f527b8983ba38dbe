//! Writes log lines from a bounded queue on a dedicated thread, with a rate
//! limit for each event.

use {
    indexmap::IndexMap,
    std::{
        io::{self, Write},
        sync::{
            Mutex, MutexGuard, PoisonError,
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time for which lines are collected into one write. The delay is small
/// compared to the seconds within which log lines are read.
const BATCH_INTERVAL: Duration = Duration::from_millis(25);

/// Time-out of a flush, such as at the end of the process when the output
/// blocks.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Event name under which lines without an event are counted.
const NO_EVENT: &str = "none";

/// Limits on the volume of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// Number of lines written for one event in a second; further lines are
    /// dropped and counted.
    pub lines_per_event_s: u32,
    /// Number of lines that may wait in the queue; further lines are dropped and
    /// counted.
    pub waiting_lines: usize,
}

/// Messages to the writer thread.
enum Job {
    Line(String),
    Flush(SyncSender<()>),
}

/// Line counts of one event in the current second.
#[derive(Debug, Default)]
struct EventCount {
    written: u32,
    left_out: u64,
}

/// Line counts of all events in the current second.
#[derive(Debug, Default)]
struct EventCounts {
    second: u64,
    /// By event name; not bounded, since the code uses a small fixed set of
    /// events.
    events: IndexMap<Box<str>, EventCount>,
    /// Number of lines dropped because the queue was full.
    overflowed: u64,
}

/// Writes log lines to an output that may block. Threads that log never wait for
/// the output.
#[derive(Debug)]
pub struct LogWriter {
    jobs: SyncSender<Job>,
    counts: Mutex<EventCounts>,
    limits: LogLimits,
    started: Instant,
}

impl LogWriter {
    /// Starts a thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub fn start(out: impl Write + Send + 'static, limits: LogLimits) -> io::Result<Self> {
        let (jobs, queue) = sync_channel(limits.waiting_lines.max(1));
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(out, &queue))?;
        Ok(Self {
            jobs,
            counts: Mutex::default(),
            limits,
            started: Instant::now(),
        })
    }

    /// Queues a line, which must end with a line feed.
    pub fn write_line(&self, line: String) {
        self.write_line_at(self.started.elapsed().as_secs(), line);
    }

    /// Queues a line as of `second`, counted from the start of the writer.
    pub fn write_line_at(&self, second: u64, line: String) {
        let (summary, written) = {
            let mut counts = self.counts();
            let summary = counts.advance(second, stamp_of(&line));
            (summary, counts.count(event_of(&line), self.limits))
        };
        for line in summary {
            self.queue(line);
        }
        if written {
            self.queue(line);
        }
    }

    /// Waits until the queued lines are written, but at most `FLUSH_TIMEOUT`. Returns
    /// whether they are.
    pub fn flush(&self) -> bool {
        let (done, written) = sync_channel(1);
        let queued = self.jobs.try_send(Job::Flush(done)).is_ok();
        queued && written.recv_timeout(FLUSH_TIMEOUT).is_ok()
    }

    fn queue(&self, line: String) {
        if self.jobs.try_send(Job::Line(line)).is_err() {
            self.counts().overflowed += 1;
            metrics::counter!("sapphirequay_log_lines_left_out_total").increment(1);
        }
    }

    fn counts(&self) -> MutexGuard<'_, EventCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EventCounts {
    /// Resets the counts when a new second begins and returns lines that report
    /// the lines dropped before. Each returned line starts with `stamp`.
    fn advance(&mut self, second: u64, stamp: &str) -> Vec<String> {
        if second == self.second {
            return Vec::new();
        }
        self.second = second;
        let mut lines = Vec::new();
        for (event, count) in &mut self.events {
            let EventCount { left_out, .. } = std::mem::take(count);
            if left_out > 0 {
                lines.push(format!(
                    "{stamp}level=WARN event=log_left_out of={event} lines={left_out}\n"
                ));
            }
        }
        let overflowed = std::mem::take(&mut self.overflowed);
        if overflowed > 0 {
            lines.push(format!(
                "{stamp}level=WARN event=log_overflowed lines={overflowed}\n"
            ));
        }
        lines
    }

    /// Counts a line; returns `false` if it exceeds the limit of its event.
    fn count(&mut self, event: &str, limits: LogLimits) -> bool {
        if !self.events.contains_key(event) {
            self.events.insert(event.into(), EventCount::default());
        }
        let Some(count) = self.events.get_mut(event) else {
            return true;
        };
        let within_limit = count.written < limits.lines_per_event_s;
        if within_limit {
            count.written += 1;
        } else {
            count.left_out += 1;
            metrics::counter!("sapphirequay_log_lines_left_out_total").increment(1);
        }
        within_limit
    }
}

/// Returns the `time=` field at the start of a line with the space after it, or
/// an empty string if the line has none.
fn stamp_of(line: &str) -> &str {
    match line.split_once(' ') {
        Some((time, _)) if time.starts_with("time=") => &line[..=time.len()],
        _ => "",
    }
}

/// Returns the event name of a line.
fn event_of(line: &str) -> &str {
    let mut fields = line.split_ascii_whitespace();
    let event = fields.find_map(|field| field.strip_prefix("event="));
    event.unwrap_or(NO_EVENT)
}

/// Writes lines until the [`LogWriter`] is dropped.
fn write_all(mut out: impl Write, queue: &Receiver<Job>) {
    let mut text = String::new();
    let mut flushed = Vec::new();
    while let Ok(first) = queue.recv() {
        if matches!(first, Job::Line(_)) {
            thread::sleep(BATCH_INTERVAL);
        }
        for job in std::iter::once(first).chain(queue.try_iter()) {
            match job {
                Job::Line(line) => text.push_str(&line),
                Job::Flush(done) => flushed.push(done),
            }
        }
        let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        if written.is_err() {
            // A log line about the failure would fail in the same way.
            metrics::counter!("sapphirequay_log_writes_failed_total").increment(1);
        }
        text.clear();
        for done in flushed.drain(..) {
            let _ = done.send(());
        }
    }
}
