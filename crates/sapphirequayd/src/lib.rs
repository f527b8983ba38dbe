//! Library of the sapphirequayd daemon: all roles that a process can have.
//!
//! [`Settings`] select the roles. [`Daemon::start`] starts them;
//! [`run_gateway`] runs a role of a gateway. Modules are organised by the
//! lifetime of their values: `request` for a call, `connection` for an HTTP
//! connection, `version` for a configuration version, `process` for the whole
//! process.
//!
//! ```
//! use sapphirequayd::Settings;
//!
//! let settings: Settings = Settings::parse("[process]\nname = \"entry-1\"\n").expect("settings");
//! assert_eq!(&*settings.process.name, "entry-1");
//! ```

mod connection;
mod gateway;
mod process;
mod request;
mod settings;
mod version;
mod wire;

pub use {
    gateway::{
        BufferShare, BufferSpace, ControlCommand, ControlState, ControlUpdate, ConversationCache,
        EncodedOp, EventReader, FollowerState, FrontMemory, FrontSuspects, GatewayRequest,
        HostLimits, HostMemory, MembershipInputs, PathProbe, Pool, SelectedUpstream, ServerLimits,
        SlowMembers, StartupWait, StoreOp, StorePath, StoreReply, StoreRequest, StoreTarget,
        StreamEnd, StreamOrigins, SuspectList, TableDocument, UPSTREAM_DISCONNECTED,
        UpstreamOutcome, Upstreams, full, next_membership_change, run as run_gateway, serve_http,
        upstream_outcome,
    },
    process::{
        Actor, BackupError, Clock, ControlClient, ControlError, ControlReply, ControlRequest,
        ControlStatus, Daemon, DaemonRow, GroupBackup, GroupError, GroupEvent, GroupHost,
        GroupLimits, GroupMsg, GroupStartError, Health, HealthSettings, InMemoryGroup,
        InProgressGuard, Lifecycle, LogLimits, LogWriter, Mailbox, MemberRow,
        MembershipChangeError, OperatorCommand, PeerFrame, QuorumReply, QuorumRequest, StartError,
        backup, restore, spawn,
    },
    request::{
        ResponseText, StreamAction, StreamTracker, StreamTrackerSettings, TextUpdate,
        UpstreamEvent, Usage,
    },
    settings::{
        ControlSettings, DEFAULT_SETTINGS, DecisionTable, EntrySettings, FrontSettings,
        GatewaySettings, KvTable, LedgerSettings, LinkTableSettings, LogLevel, LogSettings,
        PeerSettings, PolicyTable, Problem, ProcessSettings, Settings, SettingsError,
        SidecarSettings, StoreSettings,
    },
    wire::LinkRequest,
};
