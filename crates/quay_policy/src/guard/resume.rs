//! Whether a stream that a caller takes up again may go on, and at which version.

use {
    super::StreamOrigin,
    quay_types::{Incarnation, ServiceId, SoftwareVersion},
};

/// What a route says of its streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamTerms {
    /// Whether a stream may go on in another run.
    pub resumable: bool,
    /// Whether a stream is stored as the output of a turn.
    pub stored: bool,
}

impl StreamTerms {
    /// Whether a request may take up a stream that another one began.
    ///
    /// What is stored as the output of a turn is what one entry has relayed. An entry that
    /// goes on with a stream lacks the events before the break, so it could store the turn
    /// only without them. On a route that is not resumable a request runs at most once, and
    /// going on is a second run.
    ///
    /// # Errors
    ///
    /// If the caller must begin the stream anew.
    pub const fn check_take_up(self) -> Result<(), ResumeRefusal> {
        match (self.stored, self.resumable) {
            (true, _) => Err(ResumeRefusal::StoredTurn),
            (false, false) => Err(ResumeRefusal::RunsOnce),
            (false, true) => Ok(()),
        }
    }

    /// Whether a stream that breaks off can be completed by another request.
    #[must_use]
    pub const fn can_go_on(self) -> bool {
        self.check_take_up().is_ok()
    }
}

/// What the stores know of the run that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordedOrigin {
    /// Where it ran.
    Found(StreamOrigin),
    /// Runs of the same content began at several versions or services.
    Conflicting,
    /// Nothing: the run was not recorded, or its record was lost.
    Absent,
    /// Too few stores answered.
    Undetermined,
}

impl RecordedOrigin {
    /// What two look-ups of one stream say together: under the ids of its caller with an
    /// account and without.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Conflicting, _) | (_, Self::Conflicting) => Self::Conflicting,
            (Self::Undetermined, _) | (_, Self::Undetermined) => Self::Undetermined,
            (Self::Absent, known) | (known, Self::Absent) => known,
            (Self::Found(one), Self::Found(two)) => {
                let mut both = OriginLookup::new(1);
                both.add(&[one, two]);
                both.result()
            }
        }
    }
}

/// Collects what the stores know of the runs of one content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginLookup {
    /// Number of answers that meets every write quorum.
    quorum: usize,
    answers: usize,
    found: Option<StreamOrigin>,
    conflicts: bool,
}

impl OriginLookup {
    /// Creates a look-up that needs the answers of `quorum` stores.
    #[must_use]
    pub const fn new(quorum: usize) -> Self {
        Self {
            quorum,
            answers: 0,
            found: None,
            conflicts: false,
        }
    }

    /// Adds the answer of a store.
    pub fn add(&mut self, origins: &[StreamOrigin]) {
        self.answers += 1;
        for origin in origins {
            let key = |it: &StreamOrigin| (it.service, it.version);
            match &mut self.found {
                // A store may lack the record by which the incarnation became known.
                Some(found) if found.is_same_run(origin) => {
                    if !found.is_version_known() {
                        *found = *origin;
                    }
                }
                Some(found) if key(found) != key(origin) => self.conflicts = true,
                Some(found) if found.sent >= origin.sent => {}
                found => *found = Some(*origin),
            }
        }
    }

    /// What the answers say together.
    #[must_use]
    pub const fn result(&self) -> RecordedOrigin {
        match self.found {
            _ if self.conflicts => RecordedOrigin::Conflicting,
            _ if self.quorum == 0 || self.answers < self.quorum => RecordedOrigin::Undetermined,
            Some(origin) => RecordedOrigin::Found(origin),
            None => RecordedOrigin::Absent,
        }
    }
}

/// Services at which the stream of a request may have begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamServices {
    /// Service that was drawn for the request that takes the stream up.
    pub drawn: ServiceId,
    /// Services that get requests of the route.
    pub targets: Box<[ServiceId]>,
    /// Whether the route had other services lately.
    pub moved: bool,
}

impl StreamServices {
    /// Service at which the stream goes on: the one that began it, if the route still leads
    /// there. Otherwise the drawn one, for which a record of another service does not count.
    #[must_use]
    pub fn service(&self, recorded: &RecordedOrigin) -> ServiceId {
        match recorded {
            RecordedOrigin::Found(origin) if self.targets.contains(&origin.service) => {
                origin.service
            }
            _ => self.drawn,
        }
    }

    /// Whether a stream without a record has begun at the drawn service.
    #[must_use]
    pub fn is_only_one(&self) -> bool {
        !self.moved && self.targets.iter().all(|it| *it == self.drawn)
    }
}

/// What an entry knows of a stream that a caller takes up again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResumeFacts {
    /// Service at which the stream would go on.
    pub service: ServiceId,
    /// Whether the caller names the attempt that began the stream. Otherwise the
    /// content of the request identifies it.
    pub named: bool,
    /// Record of that run.
    pub recorded: RecordedOrigin,
    /// The recorded upstream's incarnation in the directory now, with its version.
    pub listed: Option<(Incarnation, Option<SoftwareVersion>)>,
    /// The version of all upstreams of the service, if there was no other one for longer
    /// than any stream lasts, and the entry is told of changes.
    pub only_version: Option<SoftwareVersion>,
}

/// Reason for which a stream does not go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeRefusal {
    /// It is uncertain which incarnation of the recorded upstream began it.
    Uncertain,
    /// It may have begun at several versions.
    Conflicting,
    /// The run that the caller names is not recorded.
    NoRecord,
    /// Neither is the run recorded, nor is there only one version.
    NotNamed,
    /// Too few stores answered.
    StoresUnsure,
    /// The stream is stored as the output of a turn, which must be whole.
    StoredTurn,
    /// Requests of the route run at most once.
    RunsOnce,
}

impl ResumeRefusal {
    /// Name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Uncertain => "uncertain",
            Self::Conflicting => "conflicting_records",
            Self::NoRecord => "no_record",
            Self::NotNamed => "first_attempt_not_named",
            Self::StoresUnsure => "stores_unsure",
            Self::StoredTurn => "stored_turn",
            Self::RunsOnce => "runs_once",
        }
    }
}

impl ResumeFacts {
    /// Decides at which version the stream goes on.
    ///
    /// A record decides. Without one the stream goes on only where every stream of the
    /// service has begun at the same version, and only if the caller names no attempt: a
    /// named attempt without a record may be one of another service.
    ///
    /// # Errors
    ///
    /// If the version is uncertain; the stream must not go on.
    pub fn decide(&self) -> Result<SoftwareVersion, ResumeRefusal> {
        match self.recorded {
            RecordedOrigin::Found(origin) => origin
                .resumable_at(self.service, self.listed)
                .ok_or(ResumeRefusal::Uncertain),
            RecordedOrigin::Conflicting => Err(ResumeRefusal::Conflicting),
            RecordedOrigin::Absent if self.named => Err(ResumeRefusal::NoRecord),
            RecordedOrigin::Undetermined if self.named => Err(ResumeRefusal::StoresUnsure),
            RecordedOrigin::Absent | RecordedOrigin::Undetermined => {
                self.only_version.ok_or(ResumeRefusal::NotNamed)
            }
        }
    }
}
