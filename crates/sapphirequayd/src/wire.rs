//! First message of each stream between two processes.

use {
    crate::{
        gateway::GatewayRequest,
        process::{ControlRequest, QuorumRequest},
    },
    quay_members::MembersRequest,
    quay_types::{LedgerRequest, SidecarRequest},
    serde::{Deserialize, Serialize},
};

/// Request that opens a stream, addressed to a role of the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkRequest {
    /// Request to a sidecar.
    Sidecar(SidecarRequest),
    /// Request to the directory of upstreams.
    Members(MembersRequest),
    /// Request to the ledger.
    Ledger(LedgerRequest),
    /// Request to the control group.
    Control(ControlRequest),
    /// Request to a replica of a group.
    Quorum(QuorumRequest),
    /// Request to a control host or a store host of a gateway.
    Gateway(GatewayRequest),
}
