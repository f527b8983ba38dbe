//! Segmented durable log with checksums and snapshots.
