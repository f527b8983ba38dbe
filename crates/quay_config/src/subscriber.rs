//! A daemon's copy of what is in force.

use {
    crate::{Config, ConfigError, Image, Poll, Step, Update, check},
    quay_types::ConfigIndex,
    std::{fmt, sync::Arc},
};

/// What an update meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubscriberEvent {
    /// Nothing new.
    Unchanged,
    /// A newer index is in force here.
    Activated(ConfigIndex),
    /// The update is older than what is in force here, and was not taken.
    Stale(ConfigIndex),
    /// A step did not fit; the next poll asks for everything.
    Resync,
    /// The document does not pass this program's checks: it is likely newer
    /// than the program. What was in force stays.
    Invalid(Box<str>),
    /// There is no document yet.
    NoDocument,
    /// The first document must come from a confirmed read, and this was none.
    Unconfirmed,
}

/// A copy that never goes back.
#[derive(Debug)]
pub struct Subscriber {
    /// What is in force here; its index only rises.
    image: Image,
    /// The checked form of `image`; `None` before the first document.
    config: Option<Arc<Config>>,
    /// Whether the next poll asks for everything.
    resync: bool,
    /// Why no newer index is in force.
    blocked_reason: Box<str>,
}

impl Default for Subscriber {
    fn default() -> Self {
        Self {
            image: Image::default(),
            config: None,
            resync: false,
            blocked_reason: "no ledger host was asked yet".into(),
        }
    }
}

impl Subscriber {
    /// What to ask with.
    #[must_use]
    pub const fn poll(&self) -> Poll {
        Poll {
            index: self.image.index,
            full: self.resync,
        }
    }

    /// What is in force here.
    #[must_use]
    pub const fn image(&self) -> &Image {
        &self.image
    }

    /// The checked configuration; `None` before the first document.
    #[must_use]
    pub const fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Why nothing newer is in force; empty while all is well.
    #[must_use]
    pub fn blocked_reason(&self) -> &str {
        &self.blocked_reason
    }

    /// Notes that nobody answered, and why.
    pub fn record_no_answer(&mut self, why: impl fmt::Display) {
        self.blocked_reason = why.to_string().into();
    }

    /// Takes an update. `confirmed` tells that a quorum confirmed it as current.
    pub fn receive(&mut self, update: Update, confirmed: bool) -> SubscriberEvent {
        let before = self.image.index;
        if before == ConfigIndex(0) && !confirmed {
            self.blocked_reason = "the answer was not confirmed by a quorum".into();
            return SubscriberEvent::Unconfirmed;
        }
        let event = match update {
            Update::Current(index) if index < before => SubscriberEvent::Stale(index),
            Update::Current(_) => SubscriberEvent::Unchanged,
            Update::Empty => SubscriberEvent::NoDocument,
            Update::Snapshot(image) if image.index < before => SubscriberEvent::Stale(image.index),
            Update::Snapshot(image) => self.replace(*image),
            Update::Steps(steps) => self.walk(&steps),
        };
        assert!(self.image.index >= before, "the configuration reverted");
        self.blocked_reason = match &event {
            SubscriberEvent::NoDocument => "the group has no document yet".into(),
            SubscriberEvent::Invalid(why) => why.clone(),
            _ => Box::default(),
        };
        event
    }

    /// Takes steps one after the other; those known already are passed over.
    fn walk(&mut self, steps: &[Step]) -> SubscriberEvent {
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
        self.replace(next)
    }

    /// Puts an image into force if it passes the checks.
    fn replace(&mut self, image: Image) -> SubscriberEvent {
        let config = match check(&image.document()) {
            Ok(config) => config,
            Err(faults) => return SubscriberEvent::Invalid(unusable(&image, &faults)),
        };
        let index = image.index;
        self.image = image;
        self.config = Some(Arc::new(config));
        self.resync = false;
        SubscriberEvent::Activated(index)
    }
}

/// Says which index can't be used and why.
fn unusable(image: &Image, faults: &[ConfigError]) -> Box<str> {
    let first = faults.first().map(ToString::to_string).unwrap_or_default();
    format!("index {} can't be used: {first}", image.index).into()
}
