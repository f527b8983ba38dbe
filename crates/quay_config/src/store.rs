//! The replicated state machine of the control group.

use {
    crate::{
        Accepted, Action, AuditTrail, ChangeId, Config, ConfigAnswer, ConfigCommand, ConfigQuery,
        ConfigReply, Conflict, Document, DrainMark, Image, Origin, PLATFORM_SECTION,
        QuarantineMark, Refusal, SectionRevision, SectionSummary, Step, StepChange, StepHistory,
        StoreStatus, TextPatch, audit::AuditEntry, check, refusal::bounded_diff,
    },
    indexmap::IndexMap,
    quay_quorum::StateMachine,
    quay_types::{ConfigIndex, ContentDigest, Epoch, LogIndex},
    serde::{Deserialize, Serialize},
};

/// Maximum number of replies that are cached to answer resends. A resent change
/// whose reply was evicted is still not applied twice, because the version that
/// it is based on is no longer in force.
const MAX_CACHED_REPLIES: usize = 1_024;

/// Maximum number of drain marks.
const MAX_DRAINED: usize = 4_096;

/// Maximum number of quarantine marks.
const MAX_QUARANTINED: usize = 4_096;

/// Maximum length of an id, author or name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Maximum length of a cause, in bytes.
const MAX_CAUSE_BYTES: usize = 512;

/// Maximum number of audit records in one answer.
const MAX_AUDIT_PAGE: usize = 1_000;

/// Author and time of a section's version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Authorship {
    author: Box<str>,
    time_ms: u64,
}

/// Cached reply to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CachedReply {
    /// Digest of author and action, to detect an id that is reused for another
    /// request.
    request: ContentDigest,
    reply: ConfigReply,
}

/// The complete state of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    image: Image,
    authorship: IndexMap<Box<str>, Authorship>,
    cached_replies: IndexMap<ChangeId, CachedReply>,
    audit_trail: AuditTrail,
    history: StepHistory,
}

/// Configuration, marks and audit trail of the system.
#[derive(Debug, Default)]
pub struct ConfigStore {
    state: ConfigSnapshot,
    /// The validated form of the document; `None` before the first document.
    config: Option<Config>,
}

/// The effects of a request that passed all checks but is not yet applied.
struct Plan {
    steps: Vec<StepChange>,
    config: Option<Config>,
    version: u64,
    digest: ContentDigest,
}

impl ConfigStore {
    /// The configuration state in force.
    #[must_use]
    pub const fn image(&self) -> &Image {
        &self.state.image
    }

    /// The validated configuration; `None` before the first document.
    #[must_use]
    pub const fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// The audit trail.
    #[must_use]
    pub const fn audit_trail(&self) -> &AuditTrail {
        &self.state.audit_trail
    }

    /// Applies or refuses a command, and records it in the audit trail. A resend
    /// returns the first reply and is not recorded.
    fn handle(&mut self, command: &ConfigCommand) -> ConfigReply {
        let before = self.state.image.digest();
        if let Err(refusal) = check_fields(command) {
            // The reply is not cached, because the size of the command is not
            // bounded; the audit record is truncated.
            return self.record_attempt(command, before, Err(refusal));
        }
        let request = request_digest(command);
        if let Some(first) = self.state.cached_replies.get(&command.id) {
            if first.request == request {
                return first.reply.clone();
            }
            return self.record_attempt(command, before, Err(Refusal::IdReused));
        }
        let reply = self.plan(command).map(|plan| self.execute(plan));
        let reply = self.record_attempt(command, before, reply);
        self.cache_reply(command, request, &reply);
        reply
    }

    /// Caches the reply to answer resends.
    fn cache_reply(
        &mut self,
        command: &ConfigCommand,
        request: ContentDigest,
        reply: &ConfigReply,
    ) {
        let cached = CachedReply {
            request,
            reply: reply.clone(),
        };
        self.state.cached_replies.insert(command.id.clone(), cached);
        if self.state.cached_replies.len() > MAX_CACHED_REPLIES {
            self.state.cached_replies.shift_remove_index(0);
        }
    }

    /// Applies the steps of a plan.
    fn execute(&mut self, plan: Plan) -> Accepted {
        let before = self.state.image.index;
        for change in plan.steps {
            let step = Step {
                index: ConfigIndex(self.state.image.index.0 + 1),
                change,
            };
            let result = self.state.image.apply(&step);
            assert_eq!(result, Ok(()), "a step was computed from another image");
            self.state.history.push(step);
        }
        assert!(self.state.image.index >= before, "the index decreased");
        if plan.config.is_some() {
            self.config = plan.config;
        }
        Accepted {
            index: self.state.image.index,
            version: plan.version,
            digest: plan.digest,
        }
    }

    /// Records an attempt in the audit trail and returns the reply.
    fn record_attempt(
        &mut self,
        command: &ConfigCommand,
        before: ContentDigest,
        reply: ConfigReply,
    ) -> ConfigReply {
        let time_ms = self.logged_time(command);
        let (before, after) = audit_digests(command, &reply, before);
        if let (Ok(_), Action::Change { section, .. }) = (&reply, &command.action) {
            let authorship = Authorship {
                author: command.author.clone(),
                time_ms,
            };
            self.state.authorship.insert(section.clone(), authorship);
        }
        self.state.audit_trail.append(&AuditEntry {
            time_ms,
            author: &command.author,
            id: &command.id,
            action: command.action.to_string().into(),
            cause: &command.cause,
            refused: reply.as_ref().err(),
            index: self.state.image.index,
            before,
            after,
        });
        reply
    }

    /// Time to log, which never decreases although the clock of a new leader may
    /// be behind.
    fn logged_time(&self, command: &ConfigCommand) -> u64 {
        command.time_ms.max(self.state.audit_trail.last_time_ms())
    }

    // -----------------------------------------------------------------------
    // Planning

    /// Checks a command and computes its steps.
    fn plan(&self, command: &ConfigCommand) -> Result<Plan, Refusal> {
        self.authorize(command)?;
        match &command.action {
            Action::Bootstrap(text) => self.plan_bootstrap(text),
            Action::Change {
                section,
                base,
                text,
            } => self.plan_change(section, *base, text),
            Action::Drain(name) => self.plan_drain(command, name),
            Action::Undrain(name) => self.plan_undrain(name),
            Action::Quarantine(digest, until_ms) => {
                self.plan_quarantine(command, *digest, *until_ms)
            }
            Action::ClearQuarantine(digest) => Ok(self.plan_clear(*digest)),
        }
    }

    /// Checks that the author may request the action.
    fn authorize(&self, command: &ConfigCommand) -> Result<(), Refusal> {
        let origin = match &command.action {
            Action::Bootstrap(_) | Action::Quarantine(..) => Origin::Process,
            _ => Origin::Operator,
        };
        if command.origin != origin {
            return Err(Refusal::WrongOrigin);
        }
        if origin == Origin::Process {
            return Ok(());
        }
        let config = self.config.as_ref().ok_or(Refusal::NoDocument)?;
        let (owns, section) = match &command.action {
            Action::Change { section, .. } => (config.owns(&command.author, section), &**section),
            _ => (config.is_owner(&command.author), ""),
        };
        if owns {
            return Ok(());
        }
        Err(Refusal::NotOwner {
            author: command.author.clone(),
            section: section.into(),
        })
    }

    /// Plans the first document.
    fn plan_bootstrap(&self, text: &str) -> Result<Plan, Refusal> {
        if self.config.is_some() {
            return Err(Refusal::DocumentExists);
        }
        let document = Document::parse(text).map_err(|error| Refusal::invalid(vec![error]))?;
        let config = check(&document).map_err(Refusal::invalid)?;
        let steps = document
            .sections()
            .map(|(name, text)| section_step(name, 1, "", text));
        Ok(Plan {
            steps: steps.collect(),
            config: Some(config),
            version: 1,
            digest: ContentDigest::of(&[b"document", text.as_bytes()]),
        })
    }

    /// Plans a new text of a section.
    fn plan_change(
        &self,
        section: &str,
        base: SectionRevision,
        text: &str,
    ) -> Result<Plan, Refusal> {
        let old = self.state.image.sections.get(section);
        let (current, old_text) = old.map_or((SectionRevision::default(), ""), |old| {
            let current = SectionRevision {
                version: old.version,
                digest: old.digest,
            };
            (current, &*old.text)
        });
        if base != current {
            return Err(self.conflict(section, base, current, text));
        }
        let mut document = self.state.image.document();
        document.set(section, text);
        let config = check(&document).map_err(Refusal::invalid)?;
        Ok(Plan {
            steps: vec![section_step(section, current.version + 1, old_text, text)],
            config: Some(config),
            version: current.version + 1,
            digest: Document::digest(section, text),
        })
    }

    /// Creates the refusal that shows the section in force and the refused text.
    fn conflict(
        &self,
        section: &str,
        base: SectionRevision,
        current: SectionRevision,
        refused: &str,
    ) -> Refusal {
        let text = self.state.image.sections.get(section);
        let author = self.state.authorship.get(section);
        Refusal::Conflict(Box::new(Conflict {
            section: section.into(),
            base_version: base.version,
            base_digest: base.digest,
            version: current.version,
            digest: current.digest,
            author: author.map_or("the first document".into(), |authorship| {
                authorship.author.clone()
            }),
            diff: bounded_diff(text.map_or("", |section| &section.text), refused),
        }))
    }

    /// Plans a drain mark; a repeated mark changes nothing.
    fn plan_drain(&self, command: &ConfigCommand, name: &str) -> Result<Plan, Refusal> {
        let drained = &self.state.image.drained;
        if drained.contains_key(name) {
            return Ok(self.plan_marks(Vec::new()));
        }
        if drained.len() >= MAX_DRAINED {
            return Err(Refusal::TooManyMarks);
        }
        let mark = DrainMark {
            author: command.author.clone(),
            time_ms: self.logged_time(command),
        };
        Ok(self.plan_marks(vec![StepChange::Drain(name.into(), mark)]))
    }

    /// Plans the removal of a drain mark.
    fn plan_undrain(&self, name: &str) -> Result<Plan, Refusal> {
        if self.state.image.drained.contains_key(name) {
            Ok(self.plan_marks(vec![StepChange::Undrain(name.into())]))
        } else {
            Err(Refusal::NotDrained(name.into()))
        }
    }

    /// Plans a quarantine mark; expired marks are removed first.
    fn plan_quarantine(
        &self,
        command: &ConfigCommand,
        digest: ContentDigest,
        until_ms: u64,
    ) -> Result<Plan, Refusal> {
        let now = self.logged_time(command);
        let marks = &self.state.image.quarantined;
        let expired: Box<[_]> = marks
            .iter()
            .filter(|(_, mark)| mark.until_ms <= now)
            .map(|(digest, _)| *digest)
            .collect();
        if marks.len() - expired.len() >= MAX_QUARANTINED && !marks.contains_key(&digest) {
            return Err(Refusal::TooManyMarks);
        }
        let mut steps = Vec::new();
        if !expired.is_empty() {
            steps.push(StepChange::ClearQuarantine(expired));
        }
        // A new mark never shortens an existing one.
        let known = marks.get(&digest).map_or(0, |mark| mark.until_ms);
        if until_ms > known.max(now) {
            steps.push(StepChange::Quarantine(digest, QuarantineMark { until_ms }));
        }
        Ok(self.plan_marks(steps))
    }

    /// Plans the end of one or all quarantines.
    fn plan_clear(&self, digest: Option<ContentDigest>) -> Plan {
        let marks = self.state.image.quarantined.keys().copied();
        let cleared: Box<[_]> = marks
            .filter(|known| digest.is_none_or(|digest| digest == *known))
            .collect();
        let steps = if cleared.is_empty() {
            Vec::new()
        } else {
            vec![StepChange::ClearQuarantine(cleared)]
        };
        self.plan_marks(steps)
    }

    /// Creates a plan that changes marks only.
    fn plan_marks(&self, steps: Vec<StepChange>) -> Plan {
        let mut after = self.state.image.clone();
        for change in &steps {
            let index = ConfigIndex(after.index.0 + 1);
            let result = after.apply(&Step {
                index,
                change: change.clone(),
            });
            assert_eq!(result, Ok(()), "a mark can always be applied");
        }
        Plan {
            steps,
            config: None,
            version: 0,
            digest: after.digest(),
        }
    }

    // -----------------------------------------------------------------------
    // Queries

    /// Returns the reply that a command would get, without applying it.
    fn dry_run(&self, command: &ConfigCommand) -> ConfigReply {
        check_fields(command)?;
        let plan = self.plan(command)?;
        let index = self.state.image.index.0 + plan.steps.len() as u64;
        Ok(Accepted {
            index: ConfigIndex(index),
            version: plan.version,
            digest: plan.digest,
        })
    }

    /// Summary of the state.
    fn status(&self) -> StoreStatus {
        let owners = |name: &str| {
            let owners = self.config.as_ref().and_then(|cfg| cfg.owners.get(name));
            owners.cloned().unwrap_or_default()
        };
        let sections = self.state.image.sections.iter().map(|(name, section)| {
            let authorship = self.state.authorship.get(name);
            SectionSummary {
                name: name.clone(),
                revision: SectionRevision {
                    version: section.version,
                    digest: section.digest,
                },
                author: authorship
                    .map_or_else(Box::default, |authorship| authorship.author.clone()),
                time_ms: authorship.map_or(0, |authorship| authorship.time_ms),
                owners: owners(name),
            }
        });
        StoreStatus {
            index: self.state.image.index,
            sections: sections.collect(),
            audit: self.state.audit_trail.last_sequence(),
        }
    }
}

impl StateMachine for ConfigStore {
    type Command = ConfigCommand;
    type Reply = ConfigReply;
    type Query = ConfigQuery;
    type Answer = ConfigAnswer;
    type Snapshot = ConfigSnapshot;

    fn apply(&mut self, _: LogIndex, _: Epoch, command: ConfigCommand) -> ConfigReply {
        self.handle(&command)
    }

    fn query(&self, query: &ConfigQuery) -> ConfigAnswer {
        match query {
            ConfigQuery::Poll(poll) => {
                ConfigAnswer::Update(self.state.history.update(*poll, &self.state.image))
            }
            ConfigQuery::DryRun(command) => ConfigAnswer::DryRun(self.dry_run(command)),
            ConfigQuery::Image => ConfigAnswer::Image(Box::new(self.state.image.clone())),
            ConfigQuery::Audit { after, limit } => {
                let limit = (*limit as usize).min(MAX_AUDIT_PAGE);
                ConfigAnswer::Audit(self.state.audit_trail.after(*after, limit))
            }
            ConfigQuery::Status => ConfigAnswer::Status(self.status()),
        }
    }

    fn snapshot(&self) -> ConfigSnapshot {
        self.state.clone()
    }

    fn restore(&mut self, snapshot: ConfigSnapshot) {
        self.config = if snapshot.image.sections.contains_key(PLATFORM_SECTION) {
            let checked = check(&snapshot.image.document());
            // A replica whose validation differs from that of its peers must
            // stop, because it would refuse changes that the peers accept.
            assert!(
                checked.is_ok(),
                "the restored document is invalid: {checked:?}"
            );
            checked.ok()
        } else {
            None
        };
        self.state = snapshot;
    }
}

/// Creates the step that sets the text of a section.
fn section_step(name: &str, version: u64, old: &str, new: &str) -> StepChange {
    StepChange::Section {
        name: name.into(),
        version,
        digest: Document::digest(name, new),
        patch: TextPatch::between(old, new),
    }
}

/// Digest of the author and action of a request, without its time.
fn request_digest(command: &ConfigCommand) -> ContentDigest {
    // Encoding can't fail: postcard supports all field types of an action.
    let action = postcard::to_stdvec(&command.action).unwrap_or_default();
    ContentDigest::of(&[command.author.as_bytes(), &action])
}

/// Checks the size and the characters of all fields, so that the stored state
/// is bounded.
fn check_fields(command: &ConfigCommand) -> Result<(), Refusal> {
    let name = match &command.action {
        Action::Change { section, .. } => section,
        Action::Drain(name) | Action::Undrain(name) => name,
        _ => &command.author,
    };
    let names = [
        ("id", &command.id.0),
        ("author", &command.author),
        ("name", name),
    ];
    for (what, text) in names {
        if text.is_empty() || text.len() > MAX_NAME_BYTES || text.chars().any(char::is_control) {
            return Err(Refusal::Malformed(what.into()));
        }
    }
    if command.cause.len() > MAX_CAUSE_BYTES || command.cause.chars().any(char::is_control) {
        return Err(Refusal::Malformed("cause".into()));
    }
    match &command.action {
        Action::Bootstrap(text) | Action::Change { text, .. }
            if text.len() > crate::MAX_DOCUMENT_BYTES =>
        {
            Err(Refusal::Malformed("text is too long".into()))
        }
        _ => Ok(()),
    }
}

/// Digests before and after the action, for the audit record.
fn audit_digests(
    command: &ConfigCommand,
    reply: &ConfigReply,
    before: ContentDigest,
) -> (ContentDigest, ContentDigest) {
    match (&command.action, reply) {
        (
            Action::Change {
                section,
                base,
                text,
            },
            _,
        ) => (base.digest, Document::digest(section, text)),
        (_, Ok(accepted)) => (before, accepted.digest),
        (_, Err(_)) => (before, before),
    }
}
