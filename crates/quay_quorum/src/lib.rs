//! Replicated log as a state machine without I/O.

mod machine;

pub use machine::StateMachine;
