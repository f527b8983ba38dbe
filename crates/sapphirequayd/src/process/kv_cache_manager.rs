//! Releases the KV cache blocks that the upstream holds for ended programs.

use {
    crate::{
        connection::EngineClient,
        process::{Actor, Clock, LedgerClient, Mailbox, spawn},
    },
    indexmap::IndexMap,
    quay_policy::{ProgramBlocks, Retention, RetentionAction, RetentionSettings},
    quay_types::{LedgerReply, LedgerRequest, ProgramId, Time},
    std::{
        io,
        sync::mpsc::{self, Receiver, Sender},
        thread,
        time::Duration,
    },
};

/// Time-out of a query to the ledger for ended programs.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of slots by which programs are grouped into ledger queries. The
/// program roots in one query are equal modulo this number, so that one ledger
/// group stores all of them; the number of groups must divide it.
const GROUP_SLOTS: u64 = 64;

/// Messages to the KV cache manager.
pub enum KvMsg {
    /// A call of a program has started; holds the hashes of its prompt blocks.
    CallStarted(ProgramId, Box<[u64]>),
    /// A call of a program has ended.
    CallEnded(ProgramId),
    /// A program has ended.
    ProgramEnded(ProgramId),
    /// The query for ended programs has finished, so that the next sweep may
    /// query again.
    QueryFinished,
}

/// Blocking tasks, which run on the worker thread.
enum KvTask {
    /// Release blocks at the upstream.
    Release(ProgramId, Box<[u64]>),
    /// Query the ledger for programs that have ended.
    QueryEnded(Box<[ProgramId]>),
}

/// Tracks the KV cache blocks of each program at the upstream and releases those
/// of ended programs.
pub struct KvCacheManager {
    retention: Retention,
    held: ProgramBlocks,
    tasks: Sender<KvTask>,
    /// Whether a query to the ledger is in progress.
    querying: bool,
}

impl KvCacheManager {
    /// Starts the manager for an engine, with its worker thread.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be created.
    pub fn start(
        clock: Clock,
        sweep_interval: Duration,
        engine: EngineClient,
        ledger: LedgerClient,
    ) -> io::Result<Mailbox<KvMsg>> {
        let (tasks, queue) = mpsc::channel();
        let settings = RetentionSettings {
            // Exported blocks need storage, which a sidecar does not have.
            export_after: Duration::ZERO,
            sweep_interval,
            ..RetentionSettings::default()
        };
        let manager = Self {
            retention: Retention::new(settings),
            held: ProgramBlocks::default(),
            tasks,
            querying: false,
        };
        let mailbox = spawn("kv-cache", clock, manager)?;
        let manager = mailbox.clone();
        thread::Builder::new()
            .name("kv-worker".into())
            .spawn(move || run_worker(&queue, &manager, &engine, &ledger))?;
        Ok(mailbox)
    }

    /// Queues the actions of the retention policy for the worker.
    fn act(&mut self, actions: impl IntoIterator<Item = RetentionAction>) {
        for action in actions {
            let task = match action {
                RetentionAction::Release(program) => {
                    KvTask::Release(program, self.held.remove(program))
                }
                RetentionAction::QueryEnded(programs) if !self.querying => {
                    self.querying = true;
                    KvTask::QueryEnded(programs)
                }
                RetentionAction::QueryEnded(_)
                | RetentionAction::Export(_)
                | RetentionAction::Import(_) => continue,
            };
            // Sending cannot fail: the worker runs until the process ends.
            let _ = self.tasks.send(task);
        }
    }
}

impl Actor for KvCacheManager {
    type Msg = KvMsg;

    const TICK: Duration = Duration::from_millis(250);

    fn handle(&mut self, now: Time, msg: KvMsg) {
        match msg {
            KvMsg::CallStarted(program, blocks) => {
                self.held.record(program, &blocks);
                let actions = self.retention.call_started(now, program);
                self.act(actions);
            }
            KvMsg::CallEnded(program) => {
                let action = self.retention.call_ended(now, program);
                self.act(action);
            }
            KvMsg::ProgramEnded(program) => {
                let action = self.retention.program_ended(program);
                self.act(action);
            }
            KvMsg::QueryFinished => self.querying = false,
        }
    }

    fn tick(&mut self, now: Time) {
        let actions = self.retention.tick(now);
        self.act(actions);
    }
}

/// Runs tasks until the manager has stopped.
fn run_worker(
    queue: &Receiver<KvTask>,
    manager: &Mailbox<KvMsg>,
    engine: &EngineClient,
    ledger: &LedgerClient,
) {
    while let Ok(task) = queue.recv() {
        match task {
            KvTask::Release(program, blocks) => {
                let released = engine.release(&blocks);
                log::debug!(
                    "event=kv_released program={program} blocks={} ok={released}",
                    blocks.len()
                );
            }
            KvTask::QueryEnded(programs) => {
                for ended in query_ended(ledger, &programs) {
                    manager.send(KvMsg::ProgramEnded(ended));
                }
                manager.send(KvMsg::QueryFinished);
            }
        }
    }
}

/// Queries the ledger groups for ended programs. Programs of a group that does
/// not reply are queried again at the next sweep.
fn query_ended(ledger: &LedgerClient, programs: &[ProgramId]) -> Vec<ProgramId> {
    let mut by_slot: IndexMap<u64, Vec<ProgramId>> = IndexMap::new();
    for program in programs {
        let slot = program.root % GROUP_SLOTS;
        by_slot.entry(slot).or_default().push(*program);
    }
    let mut ended = Vec::new();
    for slot_programs in by_slot.into_values() {
        let req = LedgerRequest::Ended(slot_programs.as_slice().into());
        if let Ok(LedgerReply::Ended(group_ended)) =
            ledger.request(slot_programs[0], &req, QUERY_TIMEOUT)
        {
            ended.extend(group_ended);
        }
    }
    ended
}
