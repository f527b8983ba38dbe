//! Log lines that wait for their output, within bounds.

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

/// Time for which lines are collected before they are written together; short
/// against the seconds in which somebody reads them.
const COLLECT: Duration = Duration::from_millis(25);

/// Longest wait for the output when the process ends.
const FLUSH_WITHIN: Duration = Duration::from_millis(300);

/// Name of lines that belong to no event.
const NO_EVENT: &str = "none";

/// Bounds on the volume of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// Lines of one event in a second; further ones are counted.
    pub lines_per_event_s: u32,
    /// Lines that wait for their output; further ones are counted.
    pub waiting_lines: usize,
}

/// What the writer is told.
enum Job {
    Line(String),
    Flush(SyncSender<()>),
}

/// Lines of one event in the second at hand.
#[derive(Debug, Default)]
struct Window {
    written: u32,
    left_out: u64,
}

/// Lines of all events in the second at hand.
#[derive(Debug, Default)]
struct Windows {
    second: u64,
    /// By event; the events of the code are few.
    events: IndexMap<Box<str>, Window>,
    /// Lines for which there was no room.
    overflowed: u64,
}

/// Log lines on their way to an output that may block: who writes a line never
/// waits.
#[derive(Debug)]
pub struct LogWriter {
    jobs: SyncSender<Job>,
    windows: Mutex<Windows>,
    bounds: LogLimits,
    began: Instant,
}

impl LogWriter {
    /// Starts a thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// If there is no thread to be had.
    pub fn start(out: impl Write + Send + 'static, bounds: LogLimits) -> io::Result<Self> {
        let (jobs, queue) = sync_channel(bounds.waiting_lines.max(1));
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(out, &queue))?;
        Ok(Self {
            jobs,
            windows: Mutex::default(),
            bounds,
            began: Instant::now(),
        })
    }

    /// Takes a line, with the line feed that ends it.
    pub fn write_line(&self, line: String) {
        self.write_line_at(self.began.elapsed().as_secs(), line);
    }

    /// Takes a line in a second of the process's life.
    pub fn write_line_at(&self, second: u64, line: String) {
        let (summary, written) = {
            let mut windows = self.windows();
            let summary = windows.turn(second, stamp_of(&line));
            (summary, windows.count(event_of(&line), self.bounds))
        };
        for line in summary {
            self.queue(line);
        }
        if written {
            self.queue(line);
        }
    }

    /// Waits a short time until what was taken is written.
    pub fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.jobs.try_send(Job::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_WITHIN);
        }
    }

    fn queue(&self, line: String) {
        if self.jobs.try_send(Job::Line(line)).is_err() {
            self.windows().overflowed += 1;
            metrics::counter!("sapphirequay_log_lines_left_out_total").increment(1);
        }
    }

    fn windows(&self) -> MutexGuard<'_, Windows> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Windows {
    /// Begins another second: lines that tell what was left out in the last one.
    /// `stamp` is the time that they bear.
    fn turn(&mut self, second: u64, stamp: &str) -> Vec<String> {
        if second == self.second {
            return Vec::new();
        }
        self.second = second;
        let mut lines = Vec::new();
        for (event, window) in &mut self.events {
            let Window { left_out, .. } = std::mem::take(window);
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

    /// Counts a line; `false` if it is one too many.
    fn count(&mut self, event: &str, bounds: LogLimits) -> bool {
        if !self.events.contains_key(event) {
            self.events.insert(event.into(), Window::default());
        }
        let Some(window) = self.events.get_mut(event) else {
            return true;
        };
        let room = window.written < bounds.lines_per_event_s;
        if room {
            window.written += 1;
        } else {
            window.left_out += 1;
            metrics::counter!("sapphirequay_log_lines_left_out_total").increment(1);
        }
        room
    }
}

/// The time of a line, with the space that ends it; nothing if it bears none.
fn stamp_of(line: &str) -> &str {
    match line.split_once(' ') {
        Some((time, _)) if time.starts_with("time=") => &line[..=time.len()],
        _ => "",
    }
}

/// The event of a line.
fn event_of(line: &str) -> &str {
    let mut fields = line.split_ascii_whitespace();
    let event = fields.find_map(|field| field.strip_prefix("event="));
    event.unwrap_or(NO_EVENT)
}

/// Writes lines until nobody can put any more.
fn write_all(mut out: impl Write, queue: &Receiver<Job>) {
    let mut text = String::new();
    let mut flushed = Vec::new();
    while let Ok(first) = queue.recv() {
        if matches!(first, Job::Line(_)) {
            thread::sleep(COLLECT);
        }
        for job in std::iter::once(first).chain(queue.try_iter()) {
            match job {
                Job::Line(line) => text.push_str(&line),
                Job::Flush(done) => flushed.push(done),
            }
        }
        let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        if written.is_err() {
            // A line about it would go the same way.
            metrics::counter!("sapphirequay_log_writes_failed_total").increment(1);
        }
        text.clear();
        for done in flushed.drain(..) {
            let _ = done.send(());
        }
    }
}
