//! Bounds of what an upstream may announce.

use {
    quay_types::{Announcement, Incarnation, Time},
    std::{fmt, time::Duration},
};

/// Bounds of what an upstream may announce. An announcement beyond them comes from
/// another writer, and would outlast or crowd out those of the upstreams.
#[derive(Debug, Clone, Copy)]
pub struct AnnouncementLimits {
    /// Maximum size of an upstream's name and of its data centre, each, in bytes.
    pub name_bytes: usize,
    /// Maximum time by which the start of an upstream may be ahead of this host's clock.
    pub clock_lead: Duration,
}

impl Default for AnnouncementLimits {
    fn default() -> Self {
        Self {
            name_bytes: 255,
            clock_lead: Duration::from_mins(10),
        }
    }
}

/// Why an announcement is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementFault {
    /// The name has so many bytes.
    LongName(usize),
    /// The data centre has so many bytes.
    LongDataCentre(usize),
    /// The run began in the future.
    FutureRun(Incarnation),
    /// The address has port 0, on which nothing can listen.
    NoPort,
}

impl fmt::Display for AnnouncementFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LongName(bytes) => write!(f, "the name has {bytes} bytes"),
            Self::LongDataCentre(bytes) => write!(f, "the data centre has {bytes} bytes"),
            Self::FutureRun(run) => write!(f, "run {run} began in the future"),
            Self::NoPort => f.write_str("the address has no port"),
        }
    }
}

impl std::error::Error for AnnouncementFault {}

impl AnnouncementLimits {
    /// Checks an announcement at a Unix time.
    ///
    /// # Errors
    ///
    /// The bound that the announcement exceeds.
    pub fn check(&self, at: Time, announcement: &Announcement) -> Result<(), AnnouncementFault> {
        let bytes = announcement.data_centre.len();
        if bytes > self.name_bytes {
            return Err(AnnouncementFault::LongDataCentre(bytes));
        }
        if announcement.addr.port() == 0 {
            return Err(AnnouncementFault::NoPort);
        }
        self.check_run(at, &announcement.name, Some(announcement.incarnation))
    }

    /// Checks the name of an upstream and the run that it names, at a Unix time. Runs are
    /// numbered by their start in milliseconds.
    ///
    /// # Errors
    ///
    /// The bound that one of them exceeds.
    pub fn check_run(
        &self,
        at: Time,
        name: &str,
        run: Option<Incarnation>,
    ) -> Result<(), AnnouncementFault> {
        if name.len() > self.name_bytes {
            return Err(AnnouncementFault::LongName(name.len()));
        }
        match run {
            Some(run) if Time::from_millis(run.0) > at + self.clock_lead => {
                Err(AnnouncementFault::FutureRun(run))
            }
            _ => Ok(()),
        }
    }
}
