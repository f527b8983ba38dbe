//! First message of every stream between two processes.

use {
    crate::process::QuorumRequest,
    quay_types::{DirectoryRequest, LedgerRequest, SidecarRequest},
    serde::{Deserialize, Serialize},
};

/// Names the role that a stream is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkRequest {
    /// For a sidecar.
    Sidecar(SidecarRequest),
    /// For the keeper of the directory.
    Directory(DirectoryRequest),
    /// For the ledger.
    Ledger(LedgerRequest),
    /// For the replica of a group.
    Quorum(QuorumRequest),
}
