//! Tests of the log with failing, lossy and corrupt files.

mod corruption;
mod crash;
mod disk_full;
mod memory_folder;
