//! Where a stream began, which decides where it may go on.

use {
    super::UpstreamRun,
    quay_types::{Incarnation, ServiceId, SoftwareVersion, Time},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Largest difference between the clocks of two machines. A stream that began
/// closer than this to a restart of its upstream may have begun before or after it.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(2);

/// Upstream that began a stream.
///
/// What two software versions write does not fit together, so a stream goes on only
/// at the version that began it. The entry that passes on the first event records
/// the origin under the id of the caller's attempt; without a record the version is
/// unknown, and the stream goes on nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Incarnation that the entry selected.
    pub run: UpstreamRun,
    /// Service that it serves.
    pub service: ServiceId,
    /// Version that this incarnation had announced; [`Self::UNKNOWN_VERSION`] while it is
    /// unknown which incarnation answered.
    pub version: SoftwareVersion,
    /// Unix time at which the request was sent.
    pub sent: Time,
}

impl StreamOrigin {
    /// A version that no upstream has.
    pub const UNKNOWN_VERSION: SoftwareVersion = SoftwareVersion(0);

    /// The same run, of which it is unknown which incarnation answered.
    #[must_use]
    pub const fn with_unknown_version(self) -> Self {
        Self {
            version: Self::UNKNOWN_VERSION,
            ..self
        }
    }

    /// Whether it is known which incarnation answered.
    #[must_use]
    pub fn is_version_known(&self) -> bool {
        self.version != Self::UNKNOWN_VERSION
    }

    /// Whether both are records of one run.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        (self.run, self.service, self.sent) == (other.run, other.service, other.sent)
    }

    /// Version at which the stream may go on at `service`; `None` if it began at
    /// another one, or if it is uncertain which incarnation began it. `listed` is the
    /// upstream's incarnation in the directory now, with its version.
    ///
    /// An upstream that starts again under its name may have answered before its new
    /// incarnation was announced. Incarnations are numbered by their start as Unix
    /// time in milliseconds.
    #[must_use]
    pub fn resumable_at(
        &self,
        service: ServiceId,
        listed: Option<(Incarnation, Option<SoftwareVersion>)>,
    ) -> Option<SoftwareVersion> {
        let (_, incarnation) = self.run;
        let later = listed.filter(|(listed, _)| *listed > incarnation);
        if !self.is_version_known() {
            return None;
        }
        let certain = later.is_none_or(|(restarted, version)| {
            let restarted = Time::from_millis(restarted.0);
            version == Some(self.version) || self.sent + MAX_CLOCK_DIFFERENCE < restarted
        });
        (certain && service == self.service).then_some(self.version)
    }
}
