//! Configuration: one TOML document of owned sections, the machine that a
//! control group replicates to keep it, and the subscriber in each daemon.
//!
//! Nothing here does I/O or reads a clock. A change names the section, version
//! and digest that it was made from; every attempt goes to an audit trail.
//!
//! ```
//! use quay_config::{Document, check};
//!
//! let text = "[platform.owners]\nplatform = [\"root\"]\n[platform.models.m]\n";
//! let document = Document::parse(text).expect("document");
//! let config = check(&document).expect("config");
//! assert_eq!(config.models.len(), 1);
//! ```

mod audit;
mod check;
mod command;
mod config;
mod document;
mod error;
mod feed;
mod floor;
mod image;
mod patch;
mod refusal;
mod schema;
mod store;
mod subscriber;

pub use {
    audit::{AuditRecord, AuditTrail, MAX_RECORDS},
    check::check,
    command::{
        Accepted, Action, Base, ChangeId, ConfigAnswer, ConfigQuery, Order, OrderReply, Origin,
        SectionView, StoreStatus,
    },
    config::{Account, Config, KeyDigest, Model, QuarantineRules, Service, UpstreamClass},
    document::{Document, MAX_DOCUMENT_BYTES, PLATFORM},
    error::ConfigError,
    feed::{Feed, MAX_STEPS, Poll, Update},
    floor::Floor,
    image::{DrainMark, Image, QuarantineMark, SectionImage, Step, StepChange, StepError},
    patch::TextPatch,
    refusal::{Conflict, Refusal, line_diff},
    store::{ConfigSnapshot, ConfigStore},
    subscriber::{Subscriber, SubscriberEvent},
};
