//! Logger set-up. A line has a time, a level and key=value pairs.

use {
    log::{LevelFilter, Log, Metadata, Record},
    log4rs::encode::{Encode as _, pattern::PatternEncoder, writer::simple::SimpleWriter},
    sapphirequayd::{LogLevel, LogLimits, LogSettings, LogWriter},
    std::{
        error::Error,
        fs::OpenOptions,
        io::{self, Write},
    },
};

/// Format of a log line.
const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3f%:z)} level={l} {m}{n}";

/// Initial capacity of a line's buffer, in bytes.
const LINE_BYTES: usize = 256;

/// Installs the logger.
pub fn start(settings: &LogSettings) -> Result<(), Box<dyn Error>> {
    let out: Box<dyn Write + Send> = match &settings.file {
        Some(path) => {
            let file = OpenOptions::new().create(true).append(true).open(path);
            Box::new(file.map_err(|err| format!("[log] file: {}: {err}", path.display()))?)
        }
        None => Box::new(io::stdout()),
    };
    let limits = LogLimits {
        lines_per_event_s: settings.lines_per_event_s,
        waiting_lines: settings.waiting_lines,
    };
    let logger = Logger {
        level: level(settings),
        encoder: PatternEncoder::new(PATTERN),
        lines: LogWriter::start(out, limits)?,
    };
    log::set_max_level(logger.level);
    log::set_boxed_logger(Box::new(logger))?;
    Ok(())
}

/// Writes all queued lines; called before the process exits.
pub fn flush() {
    log::logger().flush();
}

/// Converts the level in the settings.
const fn level(settings: &LogSettings) -> LevelFilter {
    match settings.level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}

/// Logger that encodes lines and queues them for the writer thread, so that
/// logging never blocks on the output.
#[derive(Debug)]
struct Logger {
    level: LevelFilter,
    encoder: PatternEncoder,
    lines: LogWriter,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut line = SimpleWriter(Vec::with_capacity(LINE_BYTES));
        // Writing to memory does not fail.
        if self.encoder.encode(&mut line, record).is_ok() {
            self.lines
                .write_line(String::from_utf8_lossy(&line.0).into_owned());
        }
    }

    fn flush(&self) {
        self.lines.flush();
    }
}
