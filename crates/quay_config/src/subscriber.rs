//! A daemon's copy of the configuration in force.

use {
    crate::{Config, ConfigError, Image, Poll, Step, Update, check},
    quay_types::ConfigIndex,
    std::{fmt, sync::Arc},
};

/// Result of receiving an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubscriberEvent {
    /// The update contains no changes.
    Unchanged,
    /// A newer configuration was activated; its index.
    Activated(ConfigIndex),
    /// The update is older than the local configuration and was ignored; its
    /// index.
    Stale(ConfigIndex),
    /// A step could not be applied; the next poll requests a snapshot.
    Resync,
    /// The document fails the validation of this program, probably because it
    /// is written for a newer one. The previous configuration stays active.
    Invalid(Box<str>),
    /// The control group has no document yet.
    NoDocument,
    /// The first document must come from a read confirmed by a quorum, and this
    /// update was not confirmed.
    Unconfirmed,
}

/// A daemon's copy of the configuration, whose index never decreases.
#[derive(Debug)]
pub struct Subscriber {
    /// The local state; its index never decreases.
    image: Image,
    /// The validated form of `image`; `None` before the first document.
    config: Option<Arc<Config>>,
    /// Whether the next poll requests a snapshot.
    resync: bool,
    /// Why no newer configuration is active; empty if up to date.
    blocked_reason: Box<str>,
}

impl Default for Subscriber {
    fn default() -> Self {
        Self {
            image: Image::default(),
            config: None,
            resync: false,
            blocked_reason: "no ledger host has been polled yet".into(),
        }
    }
}

impl Subscriber {
    /// The poll to send next.
    #[must_use]
    pub const fn poll(&self) -> Poll {
        Poll {
            index: self.image.index,
            full: self.resync,
        }
    }

    /// The local state.
    #[must_use]
    pub const fn image(&self) -> &Image {
        &self.image
    }

    /// The validated configuration; `None` before the first document.
    #[must_use]
    pub const fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Why no newer configuration is active; empty if up to date.
    #[must_use]
    pub fn blocked_reason(&self) -> &str {
        &self.blocked_reason
    }

    /// Records that a poll was not answered, and why.
    pub fn record_no_answer(&mut self, reason: impl fmt::Display) {
        self.blocked_reason = reason.to_string().into();
    }

    /// Processes an update. `confirmed` states that a quorum confirmed the update
    /// as current.
    pub fn receive(&mut self, update: Update, confirmed: bool) -> SubscriberEvent {
        let before = self.image.index;
        if before == ConfigIndex(0) && !confirmed {
            self.blocked_reason = "the update was not confirmed by a quorum".into();
            return SubscriberEvent::Unconfirmed;
        }
        let event = match update {
            Update::Current(index) if index < before => SubscriberEvent::Stale(index),
            Update::Current(_) => SubscriberEvent::Unchanged,
            Update::Empty => SubscriberEvent::NoDocument,
            Update::Snapshot(image) if image.index < before => SubscriberEvent::Stale(image.index),
            Update::Snapshot(image) => self.activate(*image),
            Update::Steps(steps) => self.apply_steps(&steps),
        };
        assert!(
            self.image.index >= before,
            "the configuration index decreased"
        );
        self.blocked_reason = match &event {
            SubscriberEvent::NoDocument => "the control group has no document yet".into(),
            SubscriberEvent::Invalid(reason) => reason.clone(),
            _ => Box::default(),
        };
        event
    }

    /// Applies steps in order, skipping those that were applied before.
    fn apply_steps(&mut self, steps: &[Step]) -> SubscriberEvent {
        let mut next = self.image.clone();
        for step in steps.iter().filter(|step| step.index > self.image.index) {
            if next.apply(step).is_err() {
                self.resync = true;
                return SubscriberEvent::Resync;
            }
        }
        if next.index == self.image.index {
            return SubscriberEvent::Unchanged;
        }
        self.activate(next)
    }

    /// Activates an image if its document is valid.
    fn activate(&mut self, image: Image) -> SubscriberEvent {
        let config = match check(&image.document()) {
            Ok(config) => config,
            Err(errors) => return SubscriberEvent::Invalid(invalid_reason(&image, &errors)),
        };
        let index = image.index;
        self.image = image;
        self.config = Some(Arc::new(config));
        self.resync = false;
        SubscriberEvent::Activated(index)
    }
}

/// Describes which index is invalid and why.
fn invalid_reason(image: &Image, errors: &[ConfigError]) -> Box<str> {
    let first = errors.first().map(ToString::to_string).unwrap_or_default();
    format!("configuration {} is invalid: {first}", image.index).into()
}
