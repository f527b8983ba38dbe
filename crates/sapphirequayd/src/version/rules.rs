//! Rules of one configuration version: authentication, access to models,
//! drained upstreams and quarantined content.

use {
    quay_config::{Config, Image, Subscriber},
    quay_types::{
        AccountId, ConfigIndex, ContentDigest, Error, ErrorKind, ModelId, ProgramLimits, Result,
        ServiceId, UpstreamId,
    },
    std::{sync::Arc, time::Duration},
};

/// Path of all requests to a service, since callers give the service's name
/// only.
const ANY_PATH: &str = "/";

/// Rules of the configuration at one index.
#[derive(Debug)]
pub struct Rules {
    /// Validated document; `None` before the first document.
    config: Option<Arc<Config>>,
    /// Sections of the document, drain marks and quarantine marks.
    image: Image,
    /// Reason why no newer version is in force; empty if there is none.
    blocked_reason: Box<str>,
}

impl Default for Rules {
    fn default() -> Self {
        Self::from_subscriber(&Subscriber::default())
    }
}

impl Rules {
    /// Creates the rules from the configuration of a subscriber.
    #[must_use]
    pub fn from_subscriber(subscriber: &Subscriber) -> Self {
        Self {
            config: subscriber.config().cloned(),
            image: subscriber.image().clone(),
            blocked_reason: subscriber.blocked_reason().into(),
        }
    }

    /// Returns the configuration index of these rules; 0 before the first
    /// document.
    #[must_use]
    pub const fn index(&self) -> ConfigIndex {
        self.image.index
    }

    /// Returns the validated document; `None` before the first document.
    #[must_use]
    pub fn config(&self) -> Option<&Config> {
        self.config.as_deref()
    }

    /// Finds the account of a bearer key.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unauthorized`] if no account has the key;
    /// [`ErrorKind::ConfigStale`], with the reason, before the first document.
    pub fn authenticate(&self, key: &str) -> Result<AccountId> {
        let Some(config) = &self.config else {
            let message = format!("no configuration is in force yet: {}", self.blocked_reason);
            return Err(Error::new(ErrorKind::ConfigStale, message));
        };
        config.account_of(key).ok_or_else(|| {
            Error::new(
                ErrorKind::Unauthorized,
                "the bearer key is missing or unknown",
            )
        })
    }

    /// Checks that an account may call the model with this name.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownModel`] if the document has no such model,
    /// [`ErrorKind::Forbidden`] if the account is restricted to other models.
    pub fn check_model_access(&self, account: AccountId, model: &str) -> Result<()> {
        let id = ModelId::of(model);
        let Some(config) = &self.config else {
            return Ok(());
        };
        if !config.models.contains_key(&id) {
            let message = format!("unknown model {model:?}");
            return Err(Error::new(ErrorKind::UnknownModel, message));
        }
        let allowed = config.accounts.get(&account).map(|account| &account.models);
        if allowed.is_some_and(|models| !models.is_empty() && !models.contains(&id)) {
            let message = format!("the account may not call model {model:?}");
            return Err(Error::new(ErrorKind::Forbidden, message));
        }
        Ok(())
    }

    /// Returns the maximum limits of a program of an account.
    #[must_use]
    pub fn program_limits(&self, account: AccountId) -> ProgramLimits {
        let config = self.config.as_ref();
        let account = config.and_then(|config| config.accounts.get(&account));
        account.map_or_else(ProgramLimits::default, |account| account.limits)
    }

    /// Whether an operator has drained an upstream.
    #[must_use]
    pub fn is_drained(&self, upstream: &str) -> bool {
        self.image.drained.contains_key(upstream)
    }

    /// Returns the drained upstreams.
    pub fn drained_upstreams(&self) -> impl Iterator<Item = UpstreamId> {
        self.image.drained.keys().map(|name| UpstreamId::of(name))
    }

    /// Whether requests to a service may be repeated; `true` unless the
    /// document states otherwise.
    #[must_use]
    pub fn is_repeatable(&self, service: ServiceId) -> bool {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.services.get(&service));
        service.is_none_or(|service| service.repeatable(ANY_PATH))
    }

    /// Checks that content is not quarantined at `now_ms`, in milliseconds
    /// since the Unix epoch.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`] until the quarantine mark expires or is
    /// cleared.
    pub fn check_quarantine(&self, digest: ContentDigest, now_ms: u64) -> Result<()> {
        let until_ms = self
            .image
            .quarantined
            .get(&digest)
            .map(|mark| mark.until_ms);
        match until_ms {
            Some(until_ms) if until_ms > now_ms => {
                let message = format!("upstreams crashed while running content {digest}");
                let remaining = Duration::from_millis(until_ms - now_ms);
                Err(Error::new(ErrorKind::Quarantined, message).with_retry_after(remaining))
            }
            _ => Ok(()),
        }
    }
}
