//! Validates a document and turns it into a [`Config`].

use {
    crate::{
        Account, Config, ConfigError, Document, KeyDigest, Model, PLATFORM_SECTION,
        QuarantineRules, Service, UpstreamClass,
        error::SectionSource,
        schema::{
            AccountTable, LimitsTable, PlatformFile, PlatformSection, ServiceTable, TeamSection,
            Text,
        },
    },
    indexmap::IndexMap,
    quay_types::{AccountId, ModelId, ProgramLimits, ServiceId, Tokens},
    serde::de::DeserializeOwned,
    std::{ops::Range, time::Duration},
    toml::Spanned,
};

/// Default of `grace_s`, in seconds.
const GRACE_S: u32 = 6;

/// Default of a model's `context_tokens`.
const CONTEXT_TOKENS: u64 = 262_144;

/// Default of an account's `weight`.
const WEIGHT: u32 = 100;

/// Largest `weight`.
const MAX_WEIGHT: u32 = 10_000;

/// Default of a service's `timeout_ms`, in milliseconds.
const SERVICE_TIMEOUT_MS: u32 = 30_000;

/// Default of `quarantine.crashes`.
const QUARANTINE_CRASHES: u32 = 2;

/// Default of `quarantine.lapse_s`, in seconds.
const QUARANTINE_LAPSE_S: u32 = 3_600;

/// Validates an entire document.
///
/// # Errors
///
/// All errors that were found, each with section, key and line.
pub fn check(document: &Document) -> Result<Config, Vec<ConfigError>> {
    let mut checker = Checker::default();
    let Some(source) = document
        .sources()
        .find(|source| source.section == PLATFORM_SECTION)
    else {
        return Err(vec![missing_platform()]);
    };
    let platform: PlatformFile = read(&source).map_err(|err| vec![err])?;
    let mut config = checker.platform(&source, platform.platform);
    for source in document
        .sources()
        .filter(|source| source.section != PLATFORM_SECTION)
    {
        checker.team(&source, &mut config);
    }
    if checker.errors.is_empty() {
        Ok(config)
    } else {
        Err(checker.errors)
    }
}

/// Error for a document without a platform section.
fn missing_platform() -> ConfigError {
    ConfigError {
        section: PLATFORM_SECTION.into(),
        key: PLATFORM_SECTION.into(),
        line: 1,
        message: "the document has no platform section, which names the owners".into(),
    }
}

/// Parses the text of a section.
fn read<T: DeserializeOwned>(source: &SectionSource<'_>) -> Result<T, ConfigError> {
    toml::from_str(source.text).map_err(|err| {
        let message = err.message().trim().to_owned();
        source.error_at(err.span().unwrap_or_default(), message)
    })
}

/// Validates sections and collects the errors.
#[derive(Default)]
struct Checker {
    errors: Vec<ConfigError>,
}

impl Checker {
    /// Records an error at a span of a section.
    fn report(
        &mut self,
        source: &SectionSource<'_>,
        span: Range<usize>,
        message: impl Into<Box<str>>,
    ) {
        self.errors.push(source.error_at(span, message));
    }

    /// Returns a number or its default; records an error if the number is 0.
    fn positive<T: Copy + Default + PartialEq>(
        &mut self,
        source: &SectionSource<'_>,
        value: Option<&Spanned<T>>,
        default: T,
    ) -> T {
        let Some(value) = value else { return default };
        if *value.get_ref() == T::default() {
            self.report(source, value.span(), "must be greater than 0");
        }
        *value.get_ref()
    }

    /// Returns the ids of models; records an error for each unknown model.
    fn models(
        &mut self,
        source: &SectionSource<'_>,
        names: &[Text],
        config: &Config,
    ) -> Box<[ModelId]> {
        let mut ids = Vec::with_capacity(names.len());
        for name in names {
            let id = ModelId::of(name.get_ref());
            if !config.models.contains_key(&id) {
                let message = format!("platform.models has no model {}", name.get_ref());
                self.report(source, name.span(), message);
            }
            ids.push(id);
        }
        ids.into()
    }

    // -----------------------------------------------------------------------
    // The platform section

    /// Validates the platform section and starts the configuration.
    fn platform(&mut self, source: &SectionSource<'_>, section: PlatformSection) -> Config {
        let grace_s = self.positive(source, section.grace_s.as_ref(), GRACE_S);
        let crashes = section.quarantine.crashes.as_ref();
        let lapse_s = section.quarantine.lapse_s.as_ref();
        let quarantine = QuarantineRules {
            crashes: self.positive(source, crashes, QUARANTINE_CRASHES),
            duration: seconds(self.positive(source, lapse_s, QUARANTINE_LAPSE_S)),
        };
        let mut config = Config {
            owners: IndexMap::new(),
            grace: seconds(grace_s),
            models: IndexMap::new(),
            upstreams: IndexMap::new(),
            quarantine,
            accounts: IndexMap::new(),
            keys: IndexMap::new(),
            services: IndexMap::new(),
        };
        self.owners(source, section.owners, &mut config);
        for (name, table) in section.models {
            let context = table.context_tokens.as_ref();
            let model = Model {
                context_tokens: self.positive(source, context, CONTEXT_TOKENS),
                version: table.version,
                name: name.clone(),
            };
            config.models.insert(ModelId::of(&name), model);
        }
        for (name, table) in section.upstreams {
            let class = UpstreamClass {
                checks_fence: table.checks_fence,
                models: self.models(source, &table.models, &config),
            };
            config.upstreams.insert(name, class);
        }
        config
    }

    /// Validates the owners: each named section must have at least one.
    fn owners(
        &mut self,
        source: &SectionSource<'_>,
        owners: IndexMap<Text, Vec<Box<str>>>,
        config: &mut Config,
    ) {
        for (section, authors) in owners {
            if authors.is_empty() {
                self.report(source, section.span(), "a section needs an owner");
            }
            config.owners.insert(section.into_inner(), authors.into());
        }
        if !config.owners.contains_key(PLATFORM_SECTION) {
            let error = source.section_error("platform.owners names no owner of platform");
            self.errors.push(error);
        }
    }

    // -----------------------------------------------------------------------
    // The other sections

    /// Validates the section of one team.
    fn team(&mut self, source: &SectionSource<'_>, config: &mut Config) {
        let mut file: IndexMap<Box<str>, TeamSection> = match read(source) {
            Ok(file) => file,
            Err(err) => return self.errors.push(err),
        };
        let section = file.shift_remove(source.section);
        if let Some(other) = file.keys().next() {
            let message = format!("section {other} can't be set here");
            self.errors.push(source.section_error(message));
        }
        if !config.owners.contains_key(source.section) {
            let message = format!("platform.owners names no owner of {}", source.section);
            self.errors.push(source.section_error(message));
        }
        let Some(section) = section else { return };
        for (name, table) in section.accounts {
            self.account(source, &name, &table, config);
        }
        for (name, table) in section.services {
            self.service(source, &name, &table, config);
        }
    }

    /// Validates an account.
    fn account(
        &mut self,
        source: &SectionSource<'_>,
        name: &Text,
        table: &AccountTable,
        config: &mut Config,
    ) {
        let id = AccountId::of(name.get_ref());
        if let Some(other) = config.accounts.get(&id) {
            let message = format!("account {} is in section {} too", other.name, other.section);
            return self.report(source, name.span(), message);
        }
        let weight = self.positive(source, table.weight.as_ref(), WEIGHT);
        if let Some(span) = table.weight.as_ref().filter(|_| weight > MAX_WEIGHT) {
            self.report(source, span.span(), format!("must be at most {MAX_WEIGHT}"));
        }
        let mut optional = |value: &Option<Spanned<u32>>| {
            value
                .as_ref()
                .map(|value| self.positive(source, Some(value), 1))
        };
        let account = Account {
            name: name.get_ref().clone(),
            section: source.section.into(),
            weight,
            requests_per_s: optional(&table.requests_per_s),
            concurrent: optional(&table.concurrent),
            models: self.models(source, &table.models, config),
            limits: self.limits(source, &table.limits),
        };
        config.accounts.insert(id, account);
        self.key(source, &table.key_sha256, id, config);
        if let Some(next) = &table.next_key_sha256 {
            self.key(source, next, id, config);
        }
    }

    /// Validates the digest of a bearer key: it must be well formed and belong
    /// to one account only.
    fn key(
        &mut self,
        source: &SectionSource<'_>,
        text: &Text,
        account: AccountId,
        config: &mut Config,
    ) {
        let Some(digest) = KeyDigest::from_hex(text.get_ref()) else {
            let message = "must be the SHA-256 of the key in 64 hexadecimal digits";
            return self.report(source, text.span(), message);
        };
        let earlier = config
            .keys
            .insert(digest.lookup_prefix(), (digest, account));
        if earlier.is_some() {
            self.report(source, text.span(), "another account has this key");
        }
    }

    /// Validates the limits of an account's programs.
    fn limits(&mut self, source: &SectionSource<'_>, table: &LimitsTable) -> ProgramLimits {
        let default = ProgramLimits::default();
        let budget = table.budget_tokens.as_ref();
        ProgramLimits {
            budget: Tokens(self.positive(source, budget, default.budget.0)),
            turns: self.positive(source, table.turns.as_ref(), default.turns),
            lifetime_s: self.positive(source, table.lifetime_s.as_ref(), default.lifetime_s),
            sub_agents: table.sub_agents.unwrap_or(default.sub_agents),
            depth: table.depth.unwrap_or(default.depth),
        }
    }

    /// Validates a service.
    fn service(
        &mut self,
        source: &SectionSource<'_>,
        name: &Text,
        table: &ServiceTable,
        config: &mut Config,
    ) {
        for path in &table.not_repeatable {
            if &**path.get_ref() != "*" && !path.get_ref().starts_with('/') {
                self.report(source, path.span(), "a path starts with /");
            }
        }
        let timeout_ms = self.positive(source, table.timeout_ms.as_ref(), SERVICE_TIMEOUT_MS);
        let service = Service {
            name: name.get_ref().clone(),
            not_repeatable: table
                .not_repeatable
                .iter()
                .map(|path| path.get_ref().clone())
                .collect(),
            timeout: Duration::from_millis(timeout_ms.into()),
        };
        let earlier = config
            .services
            .insert(ServiceId::of(name.get_ref()), service);
        if earlier.is_some() {
            self.report(source, name.span(), "another section has this service");
        }
    }
}

/// Duration of a whole number of seconds.
const fn seconds(count: u32) -> Duration {
    Duration::from_secs(count as u64)
}
