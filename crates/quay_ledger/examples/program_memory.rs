//! Measures the memory of a program without its history, and the time per
//! command. Run each configuration in its own process, since freed memory is
//! not returned to the operating system.
//!
//! `cargo run --release -p quay_ledger --example program_memory -- 160000 62`

use {
    quay_ledger::{Command, History, Ledger, LedgerLimits, Op, Reply, StoredCall},
    quay_quorum::StateMachine as _,
    quay_types::{
        AccountId, Begin, BeginReply, CallNumber, ConfigIndex, ContentDigest, Epoch, GroupId,
        Incarnation, LogIndex, NewProgram, Outcome, ProgramId, ProgramLimits, RequestKey, Settle,
        Tokens, UpstreamId,
    },
    std::{env, fs, time::Instant},
};

/// Memory page size in bytes on the target machines.
const PAGE_BYTES: u64 = 4_096;

/// [`History`] that discards all calls.
#[derive(Debug, Default)]
struct NoHistory;

impl History for NoHistory {
    type Snapshot = ();

    fn append(&mut self, _: ProgramId, _: StoredCall) {}

    fn record_outcome(&mut self, _: ProgramId, _: Outcome) {}

    fn remove_last(&mut self, _: ProgramId) {}

    fn read(&self, _: ProgramId, _: CallNumber) -> Option<StoredCall> {
        None
    }

    fn remove_program(&mut self, _: ProgramId) {}

    fn snapshot(&self) {}

    fn restore(&mut self, (): ()) {}
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}

/// Ledger with its log index.
struct MeasuredLedger {
    ledger: Ledger<NoHistory>,
    index: u64,
}

impl MeasuredLedger {
    fn apply(&mut self, op: Op) -> Reply {
        self.index += 1;
        let command = Command { at_ms: 1, op };
        self.ledger.apply(LogIndex(self.index), Epoch(1), command)
    }

    /// Creates a program and completes its calls.
    fn run_program(&mut self, number: u64, calls: u64) {
        let account = AccountId(number % 3_600);
        let program = ProgramId::root(number);
        let key = |call: u64| RequestKey::of(account, &format!("{number}-{call}"));
        let new = NewProgram {
            account,
            key: key(0),
            program,
            sub_agent: false,
            limits: ProgramLimits::default(),
        };
        self.apply(Op::Create(new));
        for call in 1..=calls {
            let begin = Begin {
                program,
                account,
                implicit: None,
                number: None,
                key: key(call),
                digest: ContentDigest::default(),
                reserve: Tokens(100),
                idempotent: true,
                upstream: (UpstreamId(1), Incarnation(1)),
                config: ConfigIndex(0),
                prompt: Box::default(),
            };
            let Reply::Begin(BeginReply::Granted { permit, .. }) = self.apply(Op::Begin(begin))
            else {
                return;
            };
            let outcome = Outcome::Completed {
                prompt: Tokens(50),
                output: Tokens(50),
                answer: Box::default(),
            };
            self.apply(Op::Settle(Settle {
                program,
                permit,
                outcome,
            }));
        }
    }
}

/// Numeric command-line argument at `position`, or `default`.
fn argument(position: usize, default: u64) -> u64 {
    let text = env::args().nth(position);
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() {
    let (programs, calls) = (argument(1, 160_000), argument(2, 62));
    let before = resident_bytes();
    let mut measured = MeasuredLedger {
        ledger: Ledger::new(GroupId(1), LedgerLimits::default()),
        index: 0,
    };
    let started = Instant::now();
    for number in 0..programs {
        measured.run_program(number, calls);
    }
    let nanos = started.elapsed().as_nanos() / u128::from(measured.index);
    let bytes = resident_bytes().saturating_sub(before) / programs;
    println!(
        "programs={programs} calls={calls} resident_bytes_a_program={bytes} ns_a_command={nanos}"
    );
}
