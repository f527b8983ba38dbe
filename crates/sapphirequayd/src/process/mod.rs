//! What lives as long as the process: actors, roles and their threads.

mod actor;
mod announcer;
mod clock;
mod daemon;
mod directory;
mod gate;
mod group;
mod health;
mod ledger;
mod ledger_client;
mod lifecycle;
mod permits;
mod prober;
mod router;
pub mod telemetry;

pub use {
    actor::{Machine, Mailbox, spawn},
    clock::Clock,
    daemon::{Daemon, StartError},
    gate::{Gate, GateMsg},
    group::{Group, GroupError, GroupMsg},
    health::{Health, HealthSettings},
    ledger::LedgerService,
    ledger_client::{LedgerClient, LedgerFault},
    lifecycle::{Lifecycle, Progress},
    permits::PermitMsg,
    prober::SharedHealth,
    router::{Pick, Router, RouterMsg},
};
