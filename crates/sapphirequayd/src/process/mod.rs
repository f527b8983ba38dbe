//! State with the lifetime of the process: actors, roles and their threads.

mod actor;
mod announcer;
mod clock;
mod control;
mod control_client;
mod control_message;
mod control_role;
mod daemon;
mod directory;
mod gate;
mod group;
mod health;
mod kv_cache_manager;
mod ledger;
mod ledger_client;
mod lifecycle;
mod log_writer;
mod permits;
mod prober;
mod router;
mod subscription;
pub mod telemetry;

pub use {
    actor::{Actor, Mailbox, spawn},
    clock::Clock,
    control::ControlService,
    control_client::{ControlClient, ControlError},
    control_message::{
        ControlReply, ControlRequest, ControlStatus, DaemonRow, MemberRow, OperatorCommand,
    },
    daemon::{Daemon, StartError},
    gate::{Gate, GateMsg, ticket},
    group::{
        BackupError, GroupBackup, GroupError, GroupEvent, GroupHost, GroupLimits, GroupMsg,
        GroupStartError, InMemoryGroup, MembershipChangeError, PeerFrame, QuorumReply,
        QuorumRequest, backup, restore,
    },
    health::{Health, HealthSettings},
    kv_cache_manager::{KvCacheManager, KvMsg},
    ledger::LedgerService,
    ledger_client::{LedgerClient, LedgerClientError},
    lifecycle::{InProgressGuard, Lifecycle},
    log_writer::{LogLimits, LogWriter},
    permits::PermitMsg,
    prober::SharedHealth,
    router::{AttemptKind, Pick, PickRequest, Router, RouterMsg},
    subscription::Subscription,
};
