//! Releases what the upstream holds for programs that have ended.

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

/// Longest wait for a ledger host to say which programs have ended.
const ASK_PATIENCE: Duration = Duration::from_secs(2);

/// Roots of one question to the ledger share this remainder, so that one group
/// knows them all; the number of groups divides it.
const GROUP_SLOTS: u64 = 64;

/// What the keeper is told.
pub enum KvMsg {
    /// A call of a program starts with these blocks in its prompt.
    CallStarted(ProgramId, Box<[u64]>),
    /// A call of a program has ended.
    CallEnded(ProgramId),
    /// A program has ended.
    ProgramEnded(ProgramId),
    /// The ledger did not say which of these have ended; the next sweep asks again.
    QueryFinished,
}

/// What the keeper's worker does, since it may block.
enum KvTask {
    /// Have the upstream drop blocks.
    Release(ProgramId, Box<[u64]>),
    /// Ask the ledger which programs have ended.
    Ask(Box<[ProgramId]>),
}

/// Decides what the upstream keeps.
pub struct KvCacheManager {
    retention: Retention,
    held: ProgramBlocks,
    tasks: Sender<KvTask>,
    /// Whether the worker asks the ledger now.
    sweeping: bool,
}

impl KvCacheManager {
    /// Starts the keeper of an engine and its worker.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn start(
        clock: Clock,
        sweep_interval: Duration,
        engine: EngineClient,
        ledger: LedgerClient,
    ) -> io::Result<Mailbox<KvMsg>> {
        let (tasks, queue) = mpsc::channel();
        let settings = RetentionSettings {
            // Exports need room for the copies, which a sidecar does not have.
            export_after: Duration::ZERO,
            sweep_interval,
            ..RetentionSettings::default()
        };
        let keeper = Self {
            retention: Retention::new(settings),
            held: ProgramBlocks::default(),
            tasks,
            sweeping: false,
        };
        let mailbox = spawn("kv-keeper", clock, keeper)?;
        let back = mailbox.clone();
        thread::Builder::new()
            .name("kv-worker".into())
            .spawn(move || work(&queue, &back, &engine, &ledger))?;
        Ok(mailbox)
    }

    /// Hands what retention asks for to the worker.
    fn act(&mut self, actions: impl IntoIterator<Item = RetentionAction>) {
        for action in actions {
            let task = match action {
                RetentionAction::Release(program) => {
                    KvTask::Release(program, self.held.remove(program))
                }
                RetentionAction::QueryEnded(programs) if !self.sweeping => {
                    self.sweeping = true;
                    KvTask::Ask(programs)
                }
                RetentionAction::QueryEnded(_)
                | RetentionAction::Export(_)
                | RetentionAction::Import(_) => continue,
            };
            // The worker ends with the process only.
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
            KvMsg::QueryFinished => self.sweeping = false,
        }
    }

    fn tick(&mut self, now: Time) {
        let actions = self.retention.tick(now);
        self.act(actions);
    }
}

/// Does tasks until the keeper is gone.
fn work(
    queue: &Receiver<KvTask>,
    keeper: &Mailbox<KvMsg>,
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
            KvTask::Ask(programs) => {
                for ended in ask_ended(ledger, &programs) {
                    keeper.send(KvMsg::ProgramEnded(ended));
                }
                keeper.send(KvMsg::QueryFinished);
            }
        }
    }
}

/// Asks the groups that know the programs; those of a group that does not
/// answer are asked about again at the next sweep.
fn ask_ended(ledger: &LedgerClient, programs: &[ProgramId]) -> Vec<ProgramId> {
    let mut by_slot: IndexMap<u64, Vec<ProgramId>> = IndexMap::new();
    for program in programs {
        let slot = program.root % GROUP_SLOTS;
        by_slot.entry(slot).or_default().push(*program);
    }
    let mut ended = Vec::new();
    for of_slot in by_slot.into_values() {
        let req = LedgerRequest::Ended(of_slot.as_slice().into());
        if let Ok(LedgerReply::Ended(some)) = ledger.request(of_slot[0], &req, ASK_PATIENCE) {
            ended.extend(some);
        }
    }
    ended
}
