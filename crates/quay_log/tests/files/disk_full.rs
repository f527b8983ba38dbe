//! A disk that is full for a while.

use {
    quay_log::{LogFile as _, retry_while_full},
    std::{cell::Cell, io},
};

#[test]
fn what_takes_room_is_done_once_there_is_some() {
    let tries = Cell::new(0);
    let done = retry_while_full("write", || {
        tries.set(tries.get() + 1);
        if tries.get() < 5 {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(7)
        }
    });
    assert_eq!(done.expect("room"), 7);
    assert_eq!(tries.get(), 5);
}

#[test]
fn any_other_error_is_told_at_once() {
    for kind in [io::ErrorKind::Other, io::ErrorKind::WriteZero] {
        let tries = Cell::new(0);
        let done: io::Result<()> = retry_while_full("write", || {
            tries.set(tries.get() + 1);
            Err(kind.into())
        });
        assert_eq!(done.expect_err("error").kind(), kind);
        assert_eq!(tries.get(), 1);
    }
}

#[test]
fn a_full_disk_of_the_system_is_told_as_one_without_room() {
    // What the log relies on: the kind of the error, and that nothing is written.
    let full = std::fs::OpenOptions::new().append(true).open("/dev/full");
    let mut full = full.expect("a device that is always full");
    let err = io::Write::write(&mut full, b"x").expect_err("no room");
    assert_eq!(err.kind(), io::ErrorKind::StorageFull);
    let dir = tempfile::tempdir().expect("folder");
    let folder = quay_log::DiskFolder::create(dir.path()).expect("folder");
    let mut file = quay_log::Folder::create(&folder, "segment").expect("file");
    assert_eq!(file.write(b"abc").expect("room"), 3);
}
