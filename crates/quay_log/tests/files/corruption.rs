//! Tests with corrupt files: a torn tail is truncated, other corruption is
//! reported.

use {
    crate::memory_folder::MemoryFolder,
    proptest::prelude::*,
    quay_log::{Folder as _, Log, LogError, LogSettings, Record, inspect},
    quay_types::{Epoch, LogIndex},
};

const CFG: LogSettings = LogSettings { segment_bytes: 400 };

fn log_with_entries(entries: u64) -> MemoryFolder {
    let folder = MemoryFolder::default();
    let (mut log, _) = Log::open(folder.clone(), CFG).expect("log");
    for index in 1..=entries {
        let body = [7; 20].into();
        let entry = Record::Entry {
            index: LogIndex(index),
            term: Epoch(1),
            body,
        };
        log.append(&[entry]).expect("appended");
    }
    folder
}

#[test]
fn corruption_before_the_tail_is_reported_with_file_and_offset() {
    let folder = log_with_entries(30);
    let names = folder.list().expect("names");
    assert!(names.len() > 2, "{names:?}");
    let mut bytes = folder.read(&names[0]).expect("bytes");
    bytes[30] ^= 1;
    folder.put(&names[0], bytes);
    match Log::open(folder.clone(), CFG) {
        Err(LogError::Corrupt { file, offset, .. }) => {
            assert_eq!((file, offset), (names[0].clone(), 0));
        }
        other => panic!("{other:?}"),
    }
    let reports = inspect(&folder).expect("inspected");
    assert!(
        reports[0].fault.is_some() && reports[1].fault.is_none(),
        "{reports:?}"
    );
}

#[test]
fn a_missing_segment_is_corruption() {
    let folder = log_with_entries(30);
    let names = folder.list().expect("names");
    folder.remove(&names[1]).expect("removed");
    assert!(matches!(
        Log::open(folder, CFG),
        Err(LogError::Corrupt { .. })
    ));
}

#[test]
fn a_torn_tail_is_truncated_and_appending_continues() {
    let folder = log_with_entries(3);
    let name = &folder.list().expect("names")[0];
    let mut bytes = folder.read(name).expect("bytes");
    bytes.truncate(bytes.len() - 3);
    folder.put(name, bytes);
    let (mut log, recovered) = Log::open(folder.clone(), CFG).expect("log");
    assert_eq!(recovered.entries.len(), 2);
    assert_eq!(recovered.cut.expect("cut").file, *name);
    let entry = Record::Entry {
        index: LogIndex(3),
        term: Epoch(2),
        body: [1].into(),
    };
    log.append(&[entry]).expect("appended");
    let (_, recovered) = Log::open(folder, CFG).expect("log");
    assert_eq!(recovered.entries.len(), 3);
    assert_eq!(recovered.cut, None);
}

proptest! {
    /// A single changed byte is either reported as corruption, or lies in the
    /// last frame, which is truncated; it never changes an entry.
    #[test]
    fn a_changed_byte_never_changes_an_entry(at in any::<prop::sample::Index>(), flip in 1u8..) {
        let folder = log_with_entries(8);
        let (_, intact) = Log::open(folder.clone(), CFG).expect("log");
        let names = folder.list().expect("names");
        let name = &names[at.index(names.len())];
        let mut bytes = folder.read(name).expect("bytes");
        let position = at.index(bytes.len());
        bytes[position] ^= flip;
        folder.put(name, bytes);
        match Log::open(folder, CFG) {
            Err(LogError::Corrupt { .. }) => {}
            Err(err) => panic!("{err}"),
            Ok((_, recovered)) => {
                prop_assert!(recovered.entries.len() + 1 == intact.entries.len());
                prop_assert_eq!(&recovered.entries[..], &intact.entries[..recovered.entries.len()]);
            }
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let folder = MemoryFolder::default();
        folder.put("segment-0000000000000001", bytes.clone());
        folder.put("snapshot-0000000000000001", bytes);
        let _ = inspect(&folder);
        let _ = Log::open(folder, CFG);
    }
}
