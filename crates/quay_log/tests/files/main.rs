//! The log over files that fail, lose bytes and get damaged.

mod crash;
mod damage;
mod disk_full;
mod memory_folder;
