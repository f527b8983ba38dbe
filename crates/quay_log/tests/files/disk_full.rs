//! Operations on a disk that is temporarily full.

use {
    quay_log::{LogFile as _, retry_while_full},
    std::{cell::Cell, io},
};

#[test]
fn an_operation_is_retried_until_the_disk_has_space() {
    let tries = Cell::new(0);
    let done: io::Result<i32> = retry_while_full(
        "write",
        || (),
        || {
            tries.set(tries.get() + 1);
            if tries.get() < 5 {
                Err(io::ErrorKind::StorageFull.into())
            } else {
                Ok(7)
            }
        },
    );
    assert_eq!(done.expect("enough space"), 7);
    assert_eq!(tries.get(), 5);
}

#[test]
fn any_other_error_is_returned_at_once() {
    for kind in [io::ErrorKind::Other, io::ErrorKind::WriteZero] {
        let tries = Cell::new(0);
        let done: io::Result<()> = retry_while_full(
            "write",
            || (),
            || {
                tries.set(tries.get() + 1);
                Err(kind.into())
            },
        );
        assert_eq!(done.expect_err("error").kind(), kind);
        assert_eq!(tries.get(), 1);
    }
}

#[test]
fn a_full_device_reports_storage_full() {
    // The log relies on the kind of the error and on nothing being written.
    let full = std::fs::OpenOptions::new().append(true).open("/dev/full");
    let mut full = full.expect("a device that is always full");
    let err = io::Write::write(&mut full, b"x").expect_err("the device accepted a write");
    assert_eq!(err.kind(), io::ErrorKind::StorageFull);
    let dir = tempfile::tempdir().expect("folder");
    let folder = quay_log::DiskFolder::create(dir.path()).expect("folder");
    let mut file = quay_log::Folder::create(&folder, "segment").expect("file");
    assert_eq!(file.write(b"abc").expect("enough space"), 3);
}
