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
    InForce(ConfigIndex),
    /// The update is older than what is in force here, and was not taken.
    Older(ConfigIndex),
    /// A step did not fit; the next poll asks for everything.
    Resync,
    /// The document does not pass this program's checks: it is likely newer
    /// than the program. What was in force stays.
    Unusable(Box<str>),
    /// There is no document yet.
    Empty,
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
    waits: Box<str>,
}

impl Default for Subscriber {
    fn default() -> Self {
        Self {
            image: Image::default(),
            config: None,
            resync: false,
            waits: "no ledger host was asked yet".into(),
        }
    }
}

impl Subscriber {
    /// What to ask with.
    #[must_use]
    pub const fn poll(&self) -> Poll {
        Poll {
            index: self.image.index,
            whole: self.resync,
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
    pub fn waits(&self) -> &str {
        &self.waits
    }

    /// Notes that nobody answered, and why.
    pub fn unanswered(&mut self, why: impl fmt::Display) {
        self.waits = why.to_string().into();
    }

    /// Takes an update. `confirmed` tells that a quorum confirmed it as current.
    pub fn receive(&mut self, update: Update, confirmed: bool) -> SubscriberEvent {
        let before = self.image.index;
        if before == ConfigIndex(0) && !confirmed {
            self.waits = "the answer was not confirmed by a quorum".into();
            return SubscriberEvent::Unconfirmed;
        }
        let event = match update {
            Update::Current(index) if index < before => SubscriberEvent::Older(index),
            Update::Current(_) => SubscriberEvent::Unchanged,
            Update::Empty => SubscriberEvent::Empty,
            Update::Snapshot(image) if image.index < before => SubscriberEvent::Older(image.index),
            Update::Snapshot(image) => self.replace(*image),
            Update::Steps(steps) => self.walk(&steps),
        };
        assert!(self.image.index >= before, "the configuration reverted");
        self.waits = match &event {
            SubscriberEvent::Empty => "the group has no document yet".into(),
            SubscriberEvent::Unusable(why) => why.clone(),
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
            Err(faults) => return SubscriberEvent::Unusable(unusable(&image, &faults)),
        };
        let index = image.index;
        self.image = image;
        self.config = Some(Arc::new(config));
        self.resync = false;
        SubscriberEvent::InForce(index)
    }
}

/// Says which index can't be used and why.
fn unusable(image: &Image, faults: &[ConfigError]) -> Box<str> {
    let first = faults.first().map(ToString::to_string).unwrap_or_default();
    format!("index {} can't be used: {first}", image.index).into()
}
