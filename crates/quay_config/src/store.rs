//! The machine that the control group replicates.

use {
    crate::{
        Accepted, Action, AuditTrail, ChangeId, Config, ConfigAnswer, ConfigCommand, ConfigQuery,
        ConfigReply, Conflict, Document, DrainMark, Image, Origin, PLATFORM_SECTION,
        QuarantineMark, Refusal, SectionRevision, SectionSummary, Step, StepChange, StepHistory,
        StoreStatus, TextPatch, audit::Entry, check, refusal::bounded_diff,
    },
    indexmap::IndexMap,
    quay_quorum::StateMachine,
    quay_types::{ConfigIndex, ContentDigest, Epoch, LogIndex},
    serde::{Deserialize, Serialize},
};

/// Answers that are kept for resends. A resend of a forgotten change is still
/// not carried out twice: the version that it was made from has passed.
const MAX_ANSWERS: usize = 1_024;

/// Drain marks at most.
const MAX_DRAINED: usize = 4_096;

/// Quarantined contents at most.
const MAX_QUARANTINED: usize = 4_096;

/// Longest id, author and upstream name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Longest cause, in bytes.
const MAX_CAUSE_BYTES: usize = 512;

/// Most records in one answer.
const MAX_AUDIT_PAGE: usize = 1_000;

/// Who set a section, and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Origination {
    author: Box<str>,
    time_ms: u64,
}

/// The first answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Answered {
    /// Digest of author and action, so that an id is not used for two requests.
    request: ContentDigest,
    reply: ConfigReply,
}

/// Everything that a replica holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    image: Image,
    set_by: IndexMap<Box<str>, Origination>,
    answers: IndexMap<ChangeId, Answered>,
    trail: AuditTrail,
    feed: StepHistory,
}

/// Configuration, marks and audit trail of the whole system.
#[derive(Debug, Default)]
pub struct ConfigStore {
    state: ConfigSnapshot,
    /// The checked form of the document; `None` before the first.
    config: Option<Config>,
}

/// A request that passed every check, not yet carried out.
struct Verdict {
    steps: Vec<StepChange>,
    config: Option<Config>,
    version: u64,
    digest: ContentDigest,
}

impl ConfigStore {
    /// Everything in force.
    #[must_use]
    pub const fn image(&self) -> &Image {
        &self.state.image
    }

    /// The checked configuration.
    #[must_use]
    pub const fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// The audit trail.
    #[must_use]
    pub const fn audit_trail(&self) -> &AuditTrail {
        &self.state.trail
    }

    /// Carries out an order, or refuses it; either way it is recorded.
    fn order(&mut self, order: &ConfigCommand) -> ConfigReply {
        let before = self.state.image.digest();
        if let Err(refusal) = well_formed(order) {
            // Only the clipped record is kept: the order's size has no bound.
            return self.record(order, before, Err(refusal));
        }
        let request = request_digest(order);
        if let Some(first) = self.state.answers.get(&order.id) {
            if first.request == request {
                return first.reply.clone();
            }
            return self.record(order, before, Err(Refusal::IdReused));
        }
        let reply = self.decide(order).map(|verdict| self.carry_out(verdict));
        let reply = self.record(order, before, reply);
        self.remember(order, request, &reply);
        reply
    }

    /// Keeps the first answer.
    fn remember(&mut self, order: &ConfigCommand, request: ContentDigest, reply: &ConfigReply) {
        let answered = Answered {
            request,
            reply: reply.clone(),
        };
        self.state.answers.insert(order.id.clone(), answered);
        if self.state.answers.len() > MAX_ANSWERS {
            self.state.answers.shift_remove_index(0);
        }
    }

    /// Takes the steps of a verdict.
    fn carry_out(&mut self, verdict: Verdict) -> Accepted {
        let before = self.state.image.index;
        for change in verdict.steps {
            let step = Step {
                index: ConfigIndex(self.state.image.index.0 + 1),
                change,
            };
            let taken = self.state.image.apply(&step);
            assert_eq!(taken, Ok(()), "a step was made from another image");
            self.state.feed.push(step);
        }
        assert!(self.state.image.index >= before, "the index fell");
        if verdict.config.is_some() {
            self.config = verdict.config;
        }
        Accepted {
            index: self.state.image.index,
            version: verdict.version,
            digest: verdict.digest,
        }
    }

    /// Writes an attempt to the audit trail.
    fn record(
        &mut self,
        order: &ConfigCommand,
        before: ContentDigest,
        reply: ConfigReply,
    ) -> ConfigReply {
        let time_ms = self.logged_time(order);
        let (before, after) = digests(order, &reply, before);
        if let (Ok(_), Action::Change { section, .. }) = (&reply, &order.action) {
            let by = Origination {
                author: order.author.clone(),
                time_ms,
            };
            self.state.set_by.insert(section.clone(), by);
        }
        self.state.trail.append(&Entry {
            time_ms,
            author: &order.author,
            id: &order.id,
            action: order.action.to_string().into(),
            cause: &order.cause,
            refused: reply.as_ref().err(),
            index: self.state.image.index,
            before,
            after,
        });
        reply
    }

    /// The time that is logged: a new leader's clock may be behind.
    fn logged_time(&self, order: &ConfigCommand) -> u64 {
        order.time_ms.max(self.state.trail.last_ms())
    }

    // -----------------------------------------------------------------------
    // Decisions

    /// Whether an order may be carried out, and its steps.
    fn decide(&self, order: &ConfigCommand) -> Result<Verdict, Refusal> {
        self.allowed(order)?;
        match &order.action {
            Action::Bootstrap(text) => self.found(text),
            Action::Change {
                section,
                base,
                text,
            } => self.change(section, *base, text),
            Action::Drain(name) => self.drain(order, name),
            Action::Undrain(name) => self.undrain(name),
            Action::Quarantine(digest, until_ms) => self.quarantine(order, *digest, *until_ms),
            Action::ClearQuarantine(digest) => Ok(self.clear(*digest)),
        }
    }

    /// Whether the author may ask for this.
    fn allowed(&self, order: &ConfigCommand) -> Result<(), Refusal> {
        let origin = match &order.action {
            Action::Bootstrap(_) | Action::Quarantine(..) => Origin::Process,
            _ => Origin::Operator,
        };
        if order.origin != origin {
            return Err(Refusal::WrongOrigin);
        }
        if origin == Origin::Process {
            return Ok(());
        }
        let config = self.config.as_ref().ok_or(Refusal::NoDocument)?;
        let (owns, section) = match &order.action {
            Action::Change { section, .. } => (config.owns(&order.author, section), &**section),
            _ => (config.is_owner(&order.author), ""),
        };
        if owns {
            return Ok(());
        }
        Err(Refusal::NotOwner {
            author: order.author.clone(),
            section: section.into(),
        })
    }

    /// Decides on the first document.
    fn found(&self, text: &str) -> Result<Verdict, Refusal> {
        if self.config.is_some() {
            return Err(Refusal::DocumentExists);
        }
        let document = Document::parse(text).map_err(|fault| Refusal::invalid(vec![fault]))?;
        let config = check(&document).map_err(Refusal::invalid)?;
        let steps = document
            .sections()
            .map(|(name, text)| section_step(name, 1, "", text));
        Ok(Verdict {
            steps: steps.collect(),
            config: Some(config),
            version: 1,
            digest: ContentDigest::of(&[b"document", text.as_bytes()]),
        })
    }

    /// Decides on a section's new text.
    fn change(&self, section: &str, base: SectionRevision, text: &str) -> Result<Verdict, Refusal> {
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
        Ok(Verdict {
            steps: vec![section_step(section, current.version + 1, old_text, text)],
            config: Some(config),
            version: current.version + 1,
            digest: Document::digest(section, text),
        })
    }

    /// Shows both contents that claim a place.
    fn conflict(
        &self,
        section: &str,
        base: SectionRevision,
        current: SectionRevision,
        refused: &str,
    ) -> Refusal {
        let text = self.state.image.sections.get(section);
        let author = self.state.set_by.get(section);
        Refusal::Conflict(Box::new(Conflict {
            section: section.into(),
            base_version: base.version,
            base_digest: base.digest,
            version: current.version,
            digest: current.digest,
            author: author.map_or("the first document".into(), |by| by.author.clone()),
            diff: bounded_diff(text.map_or("", |section| &section.text), refused),
        }))
    }

    /// Decides on a drain mark; a second mark changes nothing.
    fn drain(&self, order: &ConfigCommand, name: &str) -> Result<Verdict, Refusal> {
        let drained = &self.state.image.drained;
        if drained.contains_key(name) {
            return Ok(self.marks(Vec::new()));
        }
        if drained.len() >= MAX_DRAINED {
            return Err(Refusal::TooManyMarks);
        }
        let mark = DrainMark {
            author: order.author.clone(),
            time_ms: self.logged_time(order),
        };
        Ok(self.marks(vec![StepChange::Drain(name.into(), mark)]))
    }

    /// Decides on taking a drain mark away.
    fn undrain(&self, name: &str) -> Result<Verdict, Refusal> {
        if self.state.image.drained.contains_key(name) {
            Ok(self.marks(vec![StepChange::Undrain(name.into())]))
        } else {
            Err(Refusal::NotDrained(name.into()))
        }
    }

    /// Decides on quarantine; lapsed marks make room.
    fn quarantine(
        &self,
        order: &ConfigCommand,
        digest: ContentDigest,
        until_ms: u64,
    ) -> Result<Verdict, Refusal> {
        let now = self.logged_time(order);
        let marks = &self.state.image.quarantined;
        let lapsed: Box<[_]> = marks
            .iter()
            .filter(|(_, mark)| mark.until_ms <= now)
            .map(|(digest, _)| *digest)
            .collect();
        if marks.len() - lapsed.len() >= MAX_QUARANTINED && !marks.contains_key(&digest) {
            return Err(Refusal::TooManyMarks);
        }
        let mut steps = Vec::new();
        if !lapsed.is_empty() {
            steps.push(StepChange::ClearQuarantine(lapsed));
        }
        // A later mark never shortens an earlier one.
        let known = marks.get(&digest).map_or(0, |mark| mark.until_ms);
        if until_ms > known.max(now) {
            steps.push(StepChange::Quarantine(digest, QuarantineMark { until_ms }));
        }
        Ok(self.marks(steps))
    }

    /// Decides on clearing quarantine.
    fn clear(&self, digest: Option<ContentDigest>) -> Verdict {
        let marks = self.state.image.quarantined.keys().copied();
        let cleared: Box<[_]> = marks
            .filter(|known| digest.is_none_or(|digest| digest == *known))
            .collect();
        let steps = if cleared.is_empty() {
            Vec::new()
        } else {
            vec![StepChange::ClearQuarantine(cleared)]
        };
        self.marks(steps)
    }

    /// A verdict that changes marks only.
    fn marks(&self, steps: Vec<StepChange>) -> Verdict {
        let mut after = self.state.image.clone();
        for change in &steps {
            let index = ConfigIndex(after.index.0 + 1);
            let taken = after.apply(&Step {
                index,
                change: change.clone(),
            });
            assert_eq!(taken, Ok(()), "a mark always fits");
        }
        Verdict {
            steps,
            config: None,
            version: 0,
            digest: after.digest(),
        }
    }

    // -----------------------------------------------------------------------
    // Queries

    /// Whether an order would be carried out.
    fn dry_run(&self, order: &ConfigCommand) -> ConfigReply {
        well_formed(order)?;
        let verdict = self.decide(order)?;
        let index = self.state.image.index.0 + verdict.steps.len() as u64;
        Ok(Accepted {
            index: ConfigIndex(index),
            version: verdict.version,
            digest: verdict.digest,
        })
    }

    /// The state in short.
    fn status(&self) -> StoreStatus {
        let owners = |name: &str| {
            let owners = self.config.as_ref().and_then(|cfg| cfg.owners.get(name));
            owners.cloned().unwrap_or_default()
        };
        let sections = self.state.image.sections.iter().map(|(name, section)| {
            let by = self.state.set_by.get(name);
            SectionSummary {
                name: name.clone(),
                revision: SectionRevision {
                    version: section.version,
                    digest: section.digest,
                },
                author: by.map_or_else(Box::default, |by| by.author.clone()),
                time_ms: by.map_or(0, |by| by.time_ms),
                owners: owners(name),
            }
        });
        StoreStatus {
            index: self.state.image.index,
            sections: sections.collect(),
            audit: self.state.trail.last(),
        }
    }
}

impl StateMachine for ConfigStore {
    type Command = ConfigCommand;
    type Reply = ConfigReply;
    type Query = ConfigQuery;
    type Answer = ConfigAnswer;
    type Snapshot = ConfigSnapshot;

    fn apply(&mut self, _: LogIndex, _: Epoch, order: ConfigCommand) -> ConfigReply {
        self.order(&order)
    }

    fn query(&self, query: &ConfigQuery) -> ConfigAnswer {
        match query {
            ConfigQuery::Poll(poll) => {
                ConfigAnswer::Update(self.state.feed.update(*poll, &self.state.image))
            }
            ConfigQuery::DryRun(order) => ConfigAnswer::DryRun(self.dry_run(order)),
            ConfigQuery::Image => ConfigAnswer::Image(Box::new(self.state.image.clone())),
            ConfigQuery::Audit { after, limit } => {
                let limit = (*limit as usize).min(MAX_AUDIT_PAGE);
                ConfigAnswer::Audit(self.state.trail.after(*after, limit))
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
            // A replica that judges by other rules than its peers must stop:
            // it would refuse what they accept.
            assert!(
                checked.is_ok(),
                "the restored document fails the checks: {checked:?}"
            );
            checked.ok()
        } else {
            None
        };
        self.state = snapshot;
    }
}

/// The step that gives a section a new text.
fn section_step(name: &str, version: u64, old: &str, new: &str) -> StepChange {
    StepChange::Section {
        name: name.into(),
        version,
        digest: Document::digest(name, new),
        patch: TextPatch::between(old, new),
    }
}

/// Digest of what a request asks for, without its time.
fn request_digest(order: &ConfigCommand) -> ContentDigest {
    // An action holds only what postcard can encode.
    let action = postcard::to_stdvec(&order.action).unwrap_or_default();
    ContentDigest::of(&[order.author.as_bytes(), &action])
}

/// Bounds the size of what an order leaves behind.
fn well_formed(order: &ConfigCommand) -> Result<(), Refusal> {
    let name = match &order.action {
        Action::Change { section, .. } => section,
        Action::Drain(name) | Action::Undrain(name) => name,
        _ => &order.author,
    };
    let names = [
        ("id", &order.id.0),
        ("author", &order.author),
        ("name", name),
    ];
    for (what, text) in names {
        if text.is_empty() || text.len() > MAX_NAME_BYTES || text.chars().any(char::is_control) {
            return Err(Refusal::Malformed(what.into()));
        }
    }
    if order.cause.len() > MAX_CAUSE_BYTES || order.cause.chars().any(char::is_control) {
        return Err(Refusal::Malformed("cause".into()));
    }
    match &order.action {
        Action::Bootstrap(text) | Action::Change { text, .. }
            if text.len() > crate::MAX_DOCUMENT_BYTES =>
        {
            Err(Refusal::Malformed("text is too long".into()))
        }
        _ => Ok(()),
    }
}

/// Digests before and after, as the audit trail tells them.
fn digests(
    order: &ConfigCommand,
    reply: &ConfigReply,
    before: ContentDigest,
) -> (ContentDigest, ContentDigest) {
    match (&order.action, reply) {
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
