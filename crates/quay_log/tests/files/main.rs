//! The log over files that fail, lose bytes and get damaged.

mod crash;
mod damage;
mod memory_folder;
mod room;
