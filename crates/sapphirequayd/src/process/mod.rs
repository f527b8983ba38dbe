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
mod ledger;
mod ledger_client;
mod permits;
mod router;
mod subscription;

pub use {
    actor::{Machine, Mailbox, spawn},
    clock::Clock,
    control::ControlService,
    control_client::{ControlClient, ControlFault},
    control_message::{
        ControlReply, ControlRequest, ControlStatus, DaemonRow, MemberRow, OperatorOrder,
    },
    daemon::{Daemon, StartError},
    gate::{Gate, GateMsg},
    group::{
        ChangeError, Group, GroupError, GroupEvent, GroupHost, GroupLimits, GroupMsg,
        GroupStartError, PeerFrame, QuorumReply, QuorumRequest,
    },
    ledger::LedgerService,
    ledger_client::{LedgerClient, LedgerFault},
    permits::PermitMsg,
    router::{Pick, Router, RouterMsg},
    subscription::Subscription,
};
