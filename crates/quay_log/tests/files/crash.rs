//! Runs a script of log operations with a crash or an I/O fault at each file
//! operation, followed by different losses of unsynced data, and checks what
//! recovery finds.

use {
    crate::memory_folder::{Fault, Full, Loss, MemoryFolder, Refused},
    quay_log::{
        HardState, Log, LogEntry, LogError, LogSettings, Record, Recovered, Snapshot, save_snapshot,
    },
    quay_types::{Epoch, LogIndex, NodeId},
};

/// Segments are small, so that the script below closes several of them.
const CFG: LogSettings = LogSettings { segment_bytes: 150 };

fn entry(index: u64, term: u64) -> Record {
    Record::Entry {
        index: LogIndex(index),
        term: Epoch(term),
        body: vec![u8::try_from(index).expect("small"); 9].into(),
    }
}

fn hard_state(term: u64) -> Record {
    Record::HardState(HardState {
        term: Epoch(term),
        vote: Some(NodeId(term)),
    })
}

/// Expected content of the log.
#[derive(Debug, Clone, Default, PartialEq)]
struct Model {
    hard_state: HardState,
    snapshot: LogIndex,
    entries: Vec<LogEntry>,
}

impl Model {
    fn append(&mut self, records: &[Record]) {
        for record in records.iter().cloned() {
            match record {
                Record::HardState(hard_state) => self.hard_state = hard_state,
                Record::Reset => self.entries.clear(),
                Record::Entry { index, term, body } => {
                    self.entries.retain(|entry| entry.index < index);
                    self.entries.push(LogEntry { index, term, body });
                }
            }
        }
    }

    fn snapshot(&mut self, index: LogIndex) {
        self.snapshot = index;
        self.entries.retain(|entry| entry.index > index);
    }

    fn from_recovered(recovered: Recovered) -> Self {
        Self {
            hard_state: recovered.hard_state,
            snapshot: recovered
                .snapshot
                .map_or(LogIndex(0), |snapshot| snapshot.index),
            entries: recovered.entries,
        }
    }
}

/// A step of the script.
enum Step {
    Append(Vec<Record>),
    Snapshot(LogIndex, Epoch),
}

/// Appends entries, replaces the last ones, saves a snapshot of the replica's
/// own state and installs one of another leader.
fn script() -> Vec<Step> {
    let mut steps = vec![Step::Append(vec![hard_state(1)])];
    steps.extend((1..=9).map(|index| Step::Append(vec![entry(index, 1), entry(index + 1, 1)])));
    steps.push(Step::Append(vec![
        hard_state(2),
        entry(8, 2),
        entry(9, 2),
        entry(10, 2),
    ]));
    steps.push(Step::Snapshot(LogIndex(7), Epoch(1)));
    steps.extend((11..=16).map(|index| Step::Append(vec![entry(index, 2)])));
    steps.push(Step::Snapshot(LogIndex(30), Epoch(3)));
    steps.push(Step::Append(vec![
        Record::Reset,
        hard_state(3),
        entry(31, 3),
    ]));
    steps.extend((32..=35).map(|index| Step::Append(vec![entry(index, 3)])));
    steps
}

/// Expected content after a step.
fn expected(before: &Model, step: &Step) -> Model {
    let mut after = before.clone();
    match step {
        Step::Append(records) => after.append(records),
        Step::Snapshot(index, _) => after.snapshot(*index),
    }
    after
}

/// Runs the script until a step fails. Returns the states that recovery may
/// find: the acknowledged state, and the state after the failed step.
fn run(folder: &MemoryFolder) -> (Vec<Model>, Result<(), LogError>) {
    let mut model = Model::default();
    let (mut log, _) = match Log::open(folder.clone(), CFG) {
        Ok(opened) => opened,
        Err(err) => return (vec![model], Err(err)),
    };
    for step in script() {
        let next = expected(&model, &step);
        let result = match &step {
            Step::Append(records) => log.append(records),
            Step::Snapshot(index, term) => {
                let snapshot = Snapshot {
                    index: *index,
                    term: *term,
                    metadata: [1].into(),
                    data: [2; 40].into(),
                };
                save_snapshot(folder, &snapshot).and_then(|()| log.compact(*index))
            }
        };
        if let Err(err) = result {
            return (vec![model, next], Err(err));
        }
        model = next;
    }
    (vec![model], Ok(()))
}

fn operations() -> u64 {
    let folder = MemoryFolder::default();
    run(&folder).1.expect("no fault");
    folder.operations()
}

#[test]
fn a_crash_at_any_operation_loses_nothing_acknowledged() {
    let operations = operations();
    assert!(operations > 60, "{operations}");
    for at in 1..=operations {
        let folder = MemoryFolder::failing(at, Fault::Crash);
        let (allowed, result) = run(&folder);
        assert!(result.is_err(), "operation {at}");
        for loss in [Loss::All, Loss::None, Loss::Half, Loss::FirstHalf] {
            let survived = folder.after_power_loss(loss);
            let (_, recovered) = Log::open(survived, CFG)
                .unwrap_or_else(|err| panic!("operation {at}, {loss:?}: {err}"));
            let found = Model::from_recovered(recovered);
            assert!(
                allowed.contains(&found),
                "operation {at}, {loss:?}: recovered {found:?}, allowed {allowed:?}"
            );
        }
    }
}

/// Guards against a log that can't be opened, since some of its removed segments come back
/// after a loss of power.
#[test]
fn names_that_are_lost_or_come_back_one_by_one_lose_nothing_acknowledged() {
    for at in 1..=operations() {
        let folder = MemoryFolder::failing(at, Fault::Crash);
        let (allowed, _) = run(&folder);
        for loss in [Loss::EvenNames, Loss::OddNames] {
            let (_, recovered) = Log::open(folder.after_power_loss(loss), CFG)
                .unwrap_or_else(|err| panic!("operation {at}, {loss:?}: {err}"));
            let found = Model::from_recovered(recovered);
            assert!(
                allowed.contains(&found),
                "operation {at}, {loss:?}: recovered {found:?}, allowed {allowed:?}"
            );
        }
    }
}

#[test]
fn a_second_crash_during_recovery_loses_nothing_acknowledged() {
    let operations = operations();
    for at in (1..=operations).step_by(3) {
        let folder = MemoryFolder::failing(at, Fault::Crash);
        let (allowed, _) = run(&folder);
        for second in 1..10 {
            let survived = folder.after_power_loss(Loss::Half);
            let restarted = MemoryFolder::failing(second, Fault::Crash);
            for name in quay_log::Folder::list(&survived).expect("list") {
                restarted.put(
                    &name,
                    quay_log::Folder::read(&survived, &name).expect("read"),
                );
            }
            let opened = Log::open(restarted.clone(), CFG);
            let _ = opened.and_then(|(mut log, _)| log.rewrite_recovered());
            let survived = restarted.after_power_loss(Loss::All);
            let (_, recovered) = Log::open(survived, CFG).expect("recovered");
            assert!(
                allowed.contains(&Model::from_recovered(recovered)),
                "operation {at}, second crash at {second}"
            );
        }
    }
}

#[test]
fn a_failed_write_or_sync_stops_the_log() {
    for at in 1..=operations() {
        let folder = MemoryFolder::failing(at, Fault::Fail);
        let (mut log, _) = Log::open(folder, CFG).expect("log");
        let mut failed = false;
        for index in 1..=30 {
            let result = log.append(&[entry(index, 1)]);
            assert!(
                !failed || result.is_err(),
                "operation {at}: append accepted after a failure"
            );
            failed |= result.is_err();
        }
        if failed {
            assert!(matches!(log.append(&[]), Err(LogError::Stopped)));
        }
    }
}

/// Disks that are full from each operation of the script on, in each way.
fn full_disks(crashes: bool) -> Vec<(u64, Full)> {
    use Refused::{All, EmptyWrites, HalfWrites, Names, Syncs, Writes};
    use std::io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};

    let mut kinds = [StorageFull, QuotaExceeded, FileTooLarge]
        .into_iter()
        .cycle();
    let mut disks = Vec::new();
    for at in 1..=operations() {
        for refused in [Writes, HalfWrites, EmptyWrites, Syncs, Names, All, Syncs] {
            let full = Full {
                refused,
                kind: kinds.next().expect("endless"),
                waits: 1 + u32::try_from(disks.len() % 3).expect("small"),
                crashes,
            };
            disks.push((at, full));
        }
    }
    disks
}

/// Guards against a log that stops, or loses records, because its disk was full for a
/// while and reported that elsewhere than at a write.
#[test]
fn a_disk_that_was_full_at_any_operation_stops_and_loses_nothing() {
    let expected = run(&MemoryFolder::default()).0.pop().expect("a state");
    for (at, full) in full_disks(false) {
        let folder = MemoryFolder::failing(at, Fault::Full(full));
        let (_, result) = run(&folder);
        result.unwrap_or_else(|err| panic!("operation {at}, {full:?}: {err}"));
        for loss in [Loss::All, Loss::None, Loss::Half] {
            let found = Log::open(folder.after_power_loss(loss), CFG);
            let (_, recovered) =
                found.unwrap_or_else(|err| panic!("operation {at}, {full:?}, {loss:?}: {err}"));
            let found = Model::from_recovered(recovered);
            assert_eq!(found, expected, "operation {at}, {full:?}, {loss:?}");
        }
    }
}

#[test]
fn a_loss_of_power_while_the_disk_is_full_loses_nothing_acknowledged() {
    for (at, full) in full_disks(true) {
        let folder = MemoryFolder::failing(at, Fault::Full(full));
        let (allowed, _) = run(&folder);
        for loss in [Loss::All, Loss::None, Loss::Half, Loss::FirstHalf] {
            let found = Log::open(folder.after_power_loss(loss), CFG);
            let (_, recovered) =
                found.unwrap_or_else(|err| panic!("operation {at}, {full:?}, {loss:?}: {err}"));
            let found = Model::from_recovered(recovered);
            assert!(
                allowed.contains(&found),
                "operation {at}, {full:?}, {loss:?}: recovered {found:?}, allowed {allowed:?}"
            );
        }
    }
}

/// Guards against a process that takes the bytes of a failed sync for durable, because
/// it still reads them after a restart.
#[test]
fn a_restart_on_a_full_disk_makes_all_durable_that_it_finds() {
    for (at, full) in full_disks(true) {
        let folder = MemoryFolder::failing(at, Fault::Full(full));
        let (allowed, _) = run(&folder);
        folder.restart();
        let (mut log, recovered) = Log::open(folder.clone(), CFG)
            .unwrap_or_else(|err| panic!("operation {at}, {full:?}: {err}"));
        let mut found = Model::from_recovered(recovered);
        assert!(allowed.contains(&found), "operation {at}, {full:?}");
        for index in 1..=2 {
            let last = found.entries.last().map_or(found.snapshot, |it| it.index);
            let next = [entry(last.0 + 1, 8)];
            assert!(matches!(log.append(&next), Ok(())), "entry {index}");
            found.append(&next);
        }
        let (_, recovered) = Log::open(folder.after_power_loss(Loss::All), CFG)
            .unwrap_or_else(|err| panic!("operation {at}, {full:?}: {err}"));
        assert_eq!(
            Model::from_recovered(recovered),
            found,
            "operation {at}, {full:?}"
        );
    }
}

#[test]
fn a_short_write_is_completed() {
    for at in 1..=operations() {
        let (mut states, result) = run(&MemoryFolder::failing(at, Fault::Short));
        result.expect("a short write is not an error");
        assert_eq!(states.pop(), run(&MemoryFolder::default()).0.pop());
    }
}

#[test]
fn a_write_of_wrong_bytes_is_detected_unless_it_was_the_last() {
    let mut detected = 0;
    for at in 1..=operations() {
        let folder = MemoryFolder::failing(at, Fault::WrongBytes);
        let (states, result) = run(&folder);
        result.expect("the write reports success");
        match Log::open(folder, CFG) {
            Err(LogError::Corrupt { file, .. }) => {
                assert!(
                    file.starts_with("segment-") || file.starts_with("snapshot"),
                    "{file}"
                );
                detected += 1;
            }
            Err(err) => panic!("operation {at}: {err}"),
            // The lost frame was the last one, or a snapshot covers it.
            Ok((_, recovered)) => {
                let found = Model::from_recovered(recovered);
                let lost_last = found.entries.len() + 1 == states[0].entries.len();
                assert!(found == states[0] || lost_last, "operation {at}: {found:?}");
            }
        }
    }
    assert!(detected > 3, "{detected}");
}
