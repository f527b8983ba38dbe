//! Seeded experiments over the decision logic: policy, faults, capacity.
