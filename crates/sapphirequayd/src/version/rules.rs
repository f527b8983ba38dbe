//! The rules in force: who may call, and what must not run.

use {
    quay_config::{Config, Image, Subscriber},
    quay_types::{
        AccountId, ConfigIndex, ContentDigest, Error, ErrorKind, ModelId, ProgramLimits, Result,
        ServiceId, UpstreamId,
    },
    std::{sync::Arc, time::Duration},
};

/// Path of a service's requests: callers name the service only.
const ANY_PATH: &str = "/";

/// Rules that one index of the configuration sets.
#[derive(Debug)]
pub struct Rules {
    /// The checked document; `None` before the first.
    config: Option<Arc<Config>>,
    /// Sections and marks.
    image: Image,
    /// Why nothing newer is in force; empty while all is well.
    blocked_reason: Box<str>,
}

impl Default for Rules {
    fn default() -> Self {
        Self::from_subscriber(&Subscriber::default())
    }
}

impl Rules {
    /// The rules that a subscriber holds.
    #[must_use]
    pub fn from_subscriber(subscriber: &Subscriber) -> Self {
        Self {
            config: subscriber.config().cloned(),
            image: subscriber.image().clone(),
            blocked_reason: subscriber.blocked_reason().into(),
        }
    }

    /// Index that these rules are of; 0 before the first document.
    #[must_use]
    pub const fn index(&self) -> ConfigIndex {
        self.image.index
    }

    /// The checked document; `None` before the first.
    #[must_use]
    pub fn config(&self) -> Option<&Config> {
        self.config.as_deref()
    }

    /// The account of a bearer key.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unauthorized`] if no account has the key;
    /// [`ErrorKind::ConfigStale`] before the first document, with the reason.
    pub fn authenticate(&self, key: &str) -> Result<AccountId> {
        let Some(config) = &self.config else {
            let message = format!(
                "no configuration is in force here yet: {}",
                self.blocked_reason
            );
            return Err(Error::new(ErrorKind::ConfigStale, message));
        };
        config.account_of(key).ok_or_else(|| {
            Error::new(
                ErrorKind::Unauthorized,
                "the bearer key is missing or unknown",
            )
        })
    }

    /// Whether an account may call the model of this name.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownModel`] if the document has no such model,
    /// [`ErrorKind::Forbidden`] if the account is bound to others.
    pub fn check_model_access(&self, account: AccountId, model: &str) -> Result<()> {
        let id = ModelId::of(model);
        let Some(config) = &self.config else {
            return Ok(());
        };
        if !config.models.contains_key(&id) {
            let message = format!("no model is called {model:?}");
            return Err(Error::new(ErrorKind::UnknownModel, message));
        }
        let bound = config.accounts.get(&account).map(|account| &account.models);
        if bound.is_some_and(|models| !models.is_empty() && !models.contains(&id)) {
            let message = format!("the account may not call model {model:?}");
            return Err(Error::new(ErrorKind::Forbidden, message));
        }
        Ok(())
    }

    /// Most that a program of an account may ask for.
    #[must_use]
    pub fn program_limits(&self, account: AccountId) -> ProgramLimits {
        let config = self.config.as_ref();
        let account = config.and_then(|config| config.accounts.get(&account));
        account.map_or_else(ProgramLimits::default, |account| account.limits)
    }

    /// Whether an operator has marked an upstream to leave.
    #[must_use]
    pub fn is_drained(&self, upstream: &str) -> bool {
        self.image.drained.contains_key(upstream)
    }

    /// Upstreams that are marked to leave.
    pub fn drained_upstreams(&self) -> impl Iterator<Item = UpstreamId> {
        self.image.drained.keys().map(|name| UpstreamId::of(name))
    }

    /// Whether requests to a service may be repeated, for all that the
    /// document says of it.
    #[must_use]
    pub fn is_repeatable(&self, service: ServiceId) -> bool {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.services.get(&service));
        service.is_none_or(|service| service.repeatable(ANY_PATH))
    }

    /// Whether content may run at a time in milliseconds since the epoch.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`] until its mark lapses or is cleared.
    pub fn check_quarantine(&self, digest: ContentDigest, now_ms: u64) -> Result<()> {
        let until_ms = self
            .image
            .quarantined
            .get(&digest)
            .map(|mark| mark.until_ms);
        match until_ms {
            Some(until_ms) if until_ms > now_ms => {
                let message = format!("upstreams crashed while they ran content {digest}");
                let left = Duration::from_millis(until_ms - now_ms);
                Err(Error::new(ErrorKind::Quarantined, message).with_retry_after(left))
            }
            _ => Ok(()),
        }
    }
}
