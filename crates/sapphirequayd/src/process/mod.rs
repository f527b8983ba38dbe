//! What lives as long as the process: actors, roles and their threads.

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
mod kv_keeper;
mod ledger;
mod ledger_client;
mod lifecycle;
mod log_lines;
mod permits;
mod prober;
mod router;
mod subscription;
pub mod telemetry;

pub use {
    actor::{Machine, Mailbox, spawn},
    clock::Clock,
    control::ControlService,
    control_client::{ControlClient, ControlFault},
    control_message::{
        ControlReply, ControlRequest, ControlStatus, DaemonRow, MemberRow, OperatorOrder,
    },
    daemon::{Daemon, StartError},
    gate::{Gate, GateMsg, ticket},
    group::{
        BackupError, GroupBackup, GroupError, GroupEvent, GroupHost, GroupLimits, GroupMsg,
        GroupStartError, InMemoryGroup, MembershipChangeError, PeerFrame, QuorumReply,
        QuorumRequest, backup, restore,
    },
    health::{Health, HealthSettings},
    kv_keeper::{KvKeeper, KvMsg},
    ledger::LedgerService,
    ledger_client::{LedgerClient, LedgerFault},
    lifecycle::{Lifecycle, Progress},
    log_lines::{LogBounds, LogLines},
    permits::PermitMsg,
    prober::SharedHealth,
    router::{Pick, PickRequest, Router, RouterMsg, Try},
    subscription::Subscription,
};
