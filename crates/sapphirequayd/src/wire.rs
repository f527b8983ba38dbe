//! First message of every stream between two processes.

use {
    crate::{
        gateway::GatewayRequest,
        process::{ControlRequest, QuorumRequest},
    },
    quay_members::MembersRequest,
    quay_types::{LedgerRequest, SidecarRequest},
    serde::{Deserialize, Serialize},
};

/// Names the role that a stream is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkRequest {
    /// For a sidecar.
    Sidecar(SidecarRequest),
    /// For the keeper of the directory.
    Members(MembersRequest),
    /// For the ledger.
    Ledger(LedgerRequest),
    /// For the control group.
    Control(ControlRequest),
    /// For the replica of a group.
    Quorum(QuorumRequest),
    /// For a control host or a store host of a gateway.
    Gateway(GatewayRequest),
}
