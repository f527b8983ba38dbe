//! Turns a document into a checked [`Config`].

use {
    crate::{
        Account, Config, ConfigError, Document, KeyDigest, Model, PLATFORM_SECTION,
        QuarantineRules, Service, UpstreamClass,
        error::Place,
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

/// Default of `grace_s`.
const GRACE_S: u32 = 6;

/// Default of a model's `context_tokens`.
const CONTEXT_TOKENS: u64 = 262_144;

/// Default of an account's `weight`.
const WEIGHT: u32 = 100;

/// Largest `weight`.
const MAX_WEIGHT: u32 = 10_000;

/// Default of a service's `timeout_ms`.
const SERVICE_TIMEOUT_MS: u32 = 30_000;

/// Defaults of quarantine.
const QUARANTINE_CRASHES: u32 = 2;
const QUARANTINE_LAPSE_S: u32 = 3_600;

/// Checks a document as a whole.
///
/// # Errors
///
/// Every fault that was found, each with section, key and line.
pub fn check(document: &Document) -> Result<Config, Vec<ConfigError>> {
    let mut checker = Checker::default();
    let Some(place) = document
        .places()
        .find(|place| place.section == PLATFORM_SECTION)
    else {
        return Err(vec![missing_platform()]);
    };
    let platform: PlatformFile = read(&place).map_err(|err| vec![err])?;
    let mut config = checker.platform(&place, platform.platform);
    for place in document
        .places()
        .filter(|place| place.section != PLATFORM_SECTION)
    {
        checker.team(&place, &mut config);
    }
    if checker.faults.is_empty() {
        Ok(config)
    } else {
        Err(checker.faults)
    }
}

/// The fault of a document without its first section.
fn missing_platform() -> ConfigError {
    ConfigError {
        section: PLATFORM_SECTION.into(),
        key: PLATFORM_SECTION.into(),
        line: 1,
        message: "the document has no platform section, which names the owners".into(),
    }
}

/// Reads a section's text into its type.
fn read<T: DeserializeOwned>(place: &Place<'_>) -> Result<T, ConfigError> {
    toml::from_str(place.text).map_err(|err| {
        let message = err.message().trim().to_owned();
        place.fault(err.span().unwrap_or_default(), message)
    })
}

/// Collects faults.
#[derive(Default)]
struct Checker {
    faults: Vec<ConfigError>,
}

impl Checker {
    /// Records a fault.
    fn fault(&mut self, place: &Place<'_>, span: Range<usize>, message: impl Into<Box<str>>) {
        self.faults.push(place.fault(span, message));
    }

    /// A number that must not be 0 and has a default.
    fn positive<T: Copy + Default + PartialEq>(
        &mut self,
        place: &Place<'_>,
        value: Option<&Spanned<T>>,
        default: T,
    ) -> T {
        let Some(value) = value else { return default };
        if *value.get_ref() == T::default() {
            self.fault(place, value.span(), "must be greater than 0");
        }
        *value.get_ref()
    }

    /// Names of models, each of which must be known.
    fn models(&mut self, place: &Place<'_>, names: &[Text], config: &Config) -> Box<[ModelId]> {
        let mut ids = Vec::with_capacity(names.len());
        for name in names {
            let id = ModelId::of(name.get_ref());
            if !config.models.contains_key(&id) {
                let message = format!("platform.models has no model {}", name.get_ref());
                self.fault(place, name.span(), message);
            }
            ids.push(id);
        }
        ids.into()
    }

    // -----------------------------------------------------------------------
    // The platform section

    /// Checks the platform section.
    fn platform(&mut self, place: &Place<'_>, section: PlatformSection) -> Config {
        let grace_s = self.positive(place, section.grace_s.as_ref(), GRACE_S);
        let crashes = section.quarantine.crashes.as_ref();
        let lapse_s = section.quarantine.lapse_s.as_ref();
        let quarantine = QuarantineRules {
            crashes: self.positive(place, crashes, QUARANTINE_CRASHES),
            duration: seconds(self.positive(place, lapse_s, QUARANTINE_LAPSE_S)),
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
        self.owners(place, section.owners, &mut config);
        for (name, table) in section.models {
            let context = table.context_tokens.as_ref();
            let model = Model {
                context_tokens: self.positive(place, context, CONTEXT_TOKENS),
                version: table.version,
                name: name.clone(),
            };
            config.models.insert(ModelId::of(&name), model);
        }
        for (name, table) in section.upstreams {
            let class = UpstreamClass {
                checks_fence: table.checks_fence,
                models: self.models(place, &table.models, &config),
            };
            config.upstreams.insert(name, class);
        }
        config
    }

    /// Checks the owners: each section that is named has one.
    fn owners(
        &mut self,
        place: &Place<'_>,
        owners: IndexMap<Text, Vec<Box<str>>>,
        config: &mut Config,
    ) {
        for (section, authors) in owners {
            if authors.is_empty() {
                self.fault(place, section.span(), "a section needs an owner");
            }
            config.owners.insert(section.into_inner(), authors.into());
        }
        if !config.owners.contains_key(PLATFORM_SECTION) {
            let fault = place.fault_of_section("platform.owners names no owner of platform");
            self.faults.push(fault);
        }
    }

    // -----------------------------------------------------------------------
    // The other sections

    /// Checks the section of one team.
    fn team(&mut self, place: &Place<'_>, config: &mut Config) {
        let mut file: IndexMap<Box<str>, TeamSection> = match read(place) {
            Ok(file) => file,
            Err(err) => return self.faults.push(err),
        };
        let section = file.shift_remove(place.section);
        if let Some(other) = file.keys().next() {
            let message = format!("section {other} can't be set here");
            self.faults.push(place.fault_of_section(message));
        }
        if !config.owners.contains_key(place.section) {
            let message = format!("platform.owners names no owner of {}", place.section);
            self.faults.push(place.fault_of_section(message));
        }
        let Some(section) = section else { return };
        for (name, table) in section.accounts {
            self.account(place, &name, &table, config);
        }
        for (name, table) in section.services {
            self.service(place, &name, &table, config);
        }
    }

    /// Checks an account.
    fn account(
        &mut self,
        place: &Place<'_>,
        name: &Text,
        table: &AccountTable,
        config: &mut Config,
    ) {
        let id = AccountId::of(name.get_ref());
        if let Some(other) = config.accounts.get(&id) {
            let message = format!("account {} is in section {} too", other.name, other.section);
            return self.fault(place, name.span(), message);
        }
        let weight = self.positive(place, table.weight.as_ref(), WEIGHT);
        if let Some(span) = table.weight.as_ref().filter(|_| weight > MAX_WEIGHT) {
            self.fault(place, span.span(), format!("must be at most {MAX_WEIGHT}"));
        }
        let mut optional = |value: &Option<Spanned<u32>>| {
            value
                .as_ref()
                .map(|value| self.positive(place, Some(value), 1))
        };
        let account = Account {
            name: name.get_ref().clone(),
            section: place.section.into(),
            weight,
            requests_per_s: optional(&table.requests_per_s),
            concurrent: optional(&table.concurrent),
            models: self.models(place, &table.models, config),
            limits: self.limits(place, &table.limits),
        };
        config.accounts.insert(id, account);
        self.key(place, &table.key_sha256, id, config);
        if let Some(next) = &table.next_key_sha256 {
            self.key(place, next, id, config);
        }
    }

    /// Checks the digest of a key: well formed, and of one account only.
    fn key(&mut self, place: &Place<'_>, text: &Text, account: AccountId, config: &mut Config) {
        let Some(digest) = KeyDigest::from_hex(text.get_ref()) else {
            let message = "must be the SHA-256 of the key in 64 hexadecimal digits";
            return self.fault(place, text.span(), message);
        };
        let earlier = config
            .keys
            .insert(digest.lookup_prefix(), (digest, account));
        if earlier.is_some() {
            self.fault(place, text.span(), "another account has this key");
        }
    }

    /// Checks the bounds of an account's programs.
    fn limits(&mut self, place: &Place<'_>, table: &LimitsTable) -> ProgramLimits {
        let default = ProgramLimits::default();
        let budget = table.budget_tokens.as_ref();
        ProgramLimits {
            budget: Tokens(self.positive(place, budget, default.budget.0)),
            turns: self.positive(place, table.turns.as_ref(), default.turns),
            lifetime_s: self.positive(place, table.lifetime_s.as_ref(), default.lifetime_s),
            sub_agents: table.sub_agents.unwrap_or(default.sub_agents),
            depth: table.depth.unwrap_or(default.depth),
        }
    }

    /// Checks a service.
    fn service(
        &mut self,
        place: &Place<'_>,
        name: &Text,
        table: &ServiceTable,
        config: &mut Config,
    ) {
        for path in &table.not_repeatable {
            if &**path.get_ref() != "*" && !path.get_ref().starts_with('/') {
                self.fault(place, path.span(), "a path starts with /");
            }
        }
        let timeout_ms = self.positive(place, table.timeout_ms.as_ref(), SERVICE_TIMEOUT_MS);
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
            self.fault(place, name.span(), "another section has this service");
        }
    }
}

/// A span of whole seconds.
const fn seconds(count: u32) -> Duration {
    Duration::from_secs(count as u64)
}
