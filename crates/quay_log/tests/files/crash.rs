//! A crash or a fault at every operation on files, with every kind of loss.

use {
    crate::memory_folder::{Fault, Loss, MemoryFolder},
    quay_log::{
        HardState, Log, LogEntry, LogError, LogSettings, Record, Recovered, Snapshot, save_snapshot,
    },
    quay_types::{Epoch, LogIndex, NodeId},
};

/// Small, so that the script below closes several segments.
const CFG: LogSettings = LogSettings { segment_bytes: 150 };

fn entry(index: u64, term: u64) -> Record {
    Record::Entry {
        index: LogIndex(index),
        term: Epoch(term),
        body: vec![u8::try_from(index).expect("small"); 9].into(),
    }
}

fn hard(term: u64) -> Record {
    Record::HardState(HardState {
        term: Epoch(term),
        vote: Some(NodeId(term)),
    })
}

/// What was acknowledged.
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
                    self.entries.retain(|held| held.index < index);
                    self.entries.push(LogEntry { index, term, body });
                }
            }
        }
    }

    fn snapshot(&mut self, index: LogIndex) {
        self.snapshot = index;
        self.entries.retain(|held| held.index > index);
    }

    fn of(recovered: Recovered) -> Self {
        Self {
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot.map_or(LogIndex(0), |held| held.index),
            entries: recovered.entries,
        }
    }
}

/// One step of the script.
enum Step {
    Append(Vec<Record>),
    Snapshot(LogIndex, Epoch),
}

/// Appends, a replaced tail, snapshots of its own, one of another leader.
fn script() -> Vec<Step> {
    let mut steps = vec![Step::Append(vec![hard(1)])];
    steps.extend((1..=9).map(|index| Step::Append(vec![entry(index, 1), entry(index + 1, 1)])));
    steps.push(Step::Append(vec![
        hard(2),
        entry(8, 2),
        entry(9, 2),
        entry(10, 2),
    ]));
    steps.push(Step::Snapshot(LogIndex(7), Epoch(1)));
    steps.extend((11..=16).map(|index| Step::Append(vec![entry(index, 2)])));
    steps.push(Step::Snapshot(LogIndex(30), Epoch(3)));
    steps.push(Step::Append(vec![Record::Reset, hard(3), entry(31, 3)]));
    steps.extend((32..=35).map(|index| Step::Append(vec![entry(index, 3)])));
    steps
}

/// What a step makes of the acknowledged state.
fn expected(before: &Model, step: &Step) -> Model {
    let mut after = before.clone();
    match step {
        Step::Append(records) => after.append(records),
        Step::Snapshot(index, _) => after.snapshot(*index),
    }
    after
}

/// Runs the script until it fails; the states that may be found afterwards:
/// what was acknowledged, and what the failed step would have left.
fn run(folder: &MemoryFolder) -> (Vec<Model>, Result<(), LogError>) {
    let mut model = Model::default();
    let (mut log, _) = match Log::open(folder.clone(), CFG) {
        Ok(opened) => opened,
        Err(err) => return (vec![model], Err(err)),
    };
    for step in script() {
        let next = expected(&model, &step);
        let done = match &step {
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
        if let Err(err) = done {
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
        let (allowed, failed) = run(&folder);
        assert!(failed.is_err(), "operation {at}");
        for loss in [Loss::All, Loss::None, Loss::Half, Loss::FirstHalf] {
            let left = folder.after_power_loss(loss);
            let (_, recovered) = Log::open(left, CFG)
                .unwrap_or_else(|err| panic!("operation {at}, {loss:?}: {err}"));
            let found = Model::of(recovered);
            assert!(
                allowed.contains(&found),
                "operation {at}, {loss:?}: {found:?} of {allowed:?}"
            );
        }
    }
}

#[test]
fn a_second_crash_during_recovery_loses_nothing_either() {
    let operations = operations();
    for at in (1..=operations).step_by(3) {
        let folder = MemoryFolder::failing(at, Fault::Crash);
        let (allowed, _) = run(&folder);
        for again in 1..4 {
            let left = folder.after_power_loss(Loss::Half);
            let half = MemoryFolder::failing(again, Fault::Crash);
            for name in quay_log::Folder::list(&left).expect("list") {
                half.put(&name, quay_log::Folder::read(&left, &name).expect("read"));
            }
            let _ = Log::open(half.clone(), CFG);
            let twice = half.after_power_loss(Loss::All);
            let (_, recovered) = Log::open(twice, CFG).expect("recovered");
            assert!(
                allowed.contains(&Model::of(recovered)),
                "operation {at}, then {again}"
            );
        }
    }
}

#[test]
fn a_failed_write_or_sync_stops_the_log() {
    for at in 1..=operations() {
        let folder = MemoryFolder::failing(at, Fault::Fail);
        let (mut log, _) = Log::open(folder, CFG).expect("opened");
        let mut failed = false;
        for index in 1..=30 {
            let done = log.append(&[entry(index, 1)]);
            assert!(
                !failed || done.is_err(),
                "operation {at}: taken after a failure"
            );
            failed |= done.is_err();
        }
        if failed {
            assert!(matches!(log.append(&[]), Err(LogError::Stopped)));
        }
    }
}

#[test]
fn a_short_write_is_finished() {
    for at in 1..=operations() {
        let (mut states, done) = run(&MemoryFolder::failing(at, Fault::Short));
        done.expect("a short write is no error");
        assert_eq!(states.pop(), run(&MemoryFolder::default()).0.pop());
    }
}

#[test]
fn a_write_that_lies_is_found_unless_it_was_the_last() {
    let mut found = 0;
    for at in 1..=operations() {
        let folder = MemoryFolder::failing(at, Fault::Lie);
        let (states, done) = run(&folder);
        done.expect("the lie is not seen at once");
        match Log::open(folder, CFG) {
            Err(LogError::Corrupt { file, .. }) => {
                assert!(
                    file.starts_with("segment-") || file.starts_with("snapshot"),
                    "{file}"
                );
                found += 1;
            }
            Err(err) => panic!("operation {at}: {err}"),
            // The lost frame was the last, or a snapshot has replaced it.
            Ok((_, recovered)) => {
                let held = Model::of(recovered);
                let lost_last = held.entries.len() + 1 == states[0].entries.len();
                assert!(held == states[0] || lost_last, "operation {at}: {held:?}");
            }
        }
    }
    assert!(found > 3, "{found}");
}
