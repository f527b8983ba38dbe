//! Schema of the document's sections.

use {indexmap::IndexMap, serde::Deserialize, toml::Spanned};

/// A string with its byte span in the section.
pub(crate) type Text = Spanned<Box<str>>;

/// TOML of the platform section, with its top-level table.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlatformFile {
    pub platform: PlatformSection,
}

/// Settings that the platform team owns.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlatformSection {
    /// Time in seconds after which work under an older index is refused.
    pub grace_s: Option<Spanned<u32>>,
    pub owners: IndexMap<Text, Vec<Box<str>>>,
    #[serde(default)]
    pub models: IndexMap<Box<str>, ModelTable>,
    #[serde(default)]
    pub upstreams: IndexMap<Box<str>, UpstreamTable>,
    #[serde(default)]
    pub quarantine: QuarantineTable,
}

/// A model that accounts may call.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ModelTable {
    pub context_tokens: Option<Spanned<u64>>,
    pub version: Option<Box<str>>,
}

/// A class of upstreams.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct UpstreamTable {
    pub checks_fence: bool,
    #[serde(default)]
    pub models: Vec<Text>,
}

/// When content that crashes upstreams is quarantined.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct QuarantineTable {
    pub crashes: Option<Spanned<u32>>,
    pub lapse_s: Option<Spanned<u32>>,
}

/// Settings that every other team owns.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TeamSection {
    #[serde(default)]
    pub accounts: IndexMap<Text, AccountTable>,
    #[serde(default)]
    pub services: IndexMap<Text, ServiceTable>,
}

/// A client account.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AccountTable {
    /// SHA-256 of the bearer key, in hexadecimal.
    pub key_sha256: Text,
    /// Digest of a second key, accepted during key rotation.
    pub next_key_sha256: Option<Text>,
    pub weight: Option<Spanned<u32>>,
    pub requests_per_s: Option<Spanned<u32>>,
    pub concurrent: Option<Spanned<u32>>,
    #[serde(default)]
    pub models: Vec<Text>,
    #[serde(default)]
    pub limits: LimitsTable,
}

/// Limits of an account's programs.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LimitsTable {
    pub budget_tokens: Option<Spanned<u64>>,
    pub turns: Option<Spanned<u32>>,
    pub lifetime_s: Option<Spanned<u32>>,
    pub sub_agents: Option<u32>,
    pub depth: Option<u8>,
}

/// A service without a model.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceTable {
    /// Paths whose calls must not be repeated; `*` matches all paths.
    #[serde(default)]
    pub not_repeatable: Vec<Text>,
    pub timeout_ms: Option<Spanned<u32>>,
}
