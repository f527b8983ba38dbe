//! Programs, budgets, permits and outcomes as a replicated state machine.
