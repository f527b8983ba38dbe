//! Sets up log lines: a time, a level and key=value pairs.

use {
    log::LevelFilter,
    log4rs::{
        append::{console::ConsoleAppender, file::FileAppender},
        config::{Appender, Config, Root},
        encode::pattern::PatternEncoder,
    },
    sapphirequayd::{LogLevel, LogSettings},
    std::{error::Error, path::Path},
};

/// Form of one line.
const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3f%:z)} level={l} {m}{n}";

/// Name of the only place that lines go to.
const APPENDER: &str = "lines";

/// Starts to write log lines.
pub fn start(settings: &LogSettings) -> Result<(), Box<dyn Error>> {
    let appender = match &settings.file {
        Some(path) => file(path)?,
        None => console(),
    };
    let root = Root::builder().appender(APPENDER).build(level(settings));
    let config = Config::builder().appender(appender).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}

/// The level that the settings name.
const fn level(settings: &LogSettings) -> LevelFilter {
    match settings.level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}

/// Lines go to the console.
fn console() -> Appender {
    let lines = ConsoleAppender::builder().encoder(Box::new(PatternEncoder::new(PATTERN)));
    Appender::builder().build(APPENDER, Box::new(lines.build()))
}

/// Lines are appended to a file.
fn file(path: &Path) -> Result<Appender, Box<dyn Error>> {
    let lines = FileAppender::builder().encoder(Box::new(PatternEncoder::new(PATTERN)));
    let lines = lines
        .build(path)
        .map_err(|err| format!("[log] file: {}: {err}", path.display()))?;
    Ok(Appender::builder().build(APPENDER, Box::new(lines)))
}
