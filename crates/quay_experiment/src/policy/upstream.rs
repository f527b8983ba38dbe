//! A simulated upstream: the engine and the sidecar's admission and retention.

use {
    indexmap::{IndexMap, IndexSet},
    quay_policy::{
        Admission, ConcurrencyLimit, Observation, PolicySettings, Retention, RetentionAction,
    },
    quay_standin::model::{EngineModel, KvExport, ModelSettings},
    quay_types::{
        Announcement, Incarnation, Load, ModelId, ProgramId, Time, UpstreamId, UpstreamKind,
        UpstreamState,
    },
    std::time::Duration,
};

/// Model that all programs use.
pub const MODEL: ModelId = ModelId(1);

/// Names of the data centres.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// Share of cache events that are lost in runs with faults, in thousandths.
const EVENT_LOSS_PERMILLE: u16 = 200;

/// Returns the settings of an engine.
pub fn model_settings(seed: u64, faults: bool) -> ModelSettings {
    ModelSettings {
        kv_blocks: 2_048,
        event_loss_permille: if faults { EVENT_LOSS_PERMILLE } else { 0 },
        seed,
        ..ModelSettings::default()
    }
}

/// Returns the data centre of the upstream or entry with this index; data
/// centres are assigned in rotation.
pub fn data_centre(index: usize) -> &'static str {
    DATA_CENTRES[index % DATA_CENTRES.len()]
}

/// An engine and the state of its sidecar.
pub struct Upstream<L> {
    pub id: UpstreamId,
    pub name: Box<str>,
    pub engine: EngineModel,
    pub admission: Admission<L>,
    pub retention: Retention,
    /// Exported KV blocks of paused programs.
    pub exports: IndexMap<ProgramId, KvExport>,
    /// Hashes of all exported blocks, except those shared between programs.
    pub exported_blocks: IndexSet<u64>,
    /// Time of the earliest scheduled engine event.
    pub next_wake: Option<Time>,
    /// Number of uncached prompt tokens of queued and running calls that have not
    /// returned a first token.
    pub backlog: u64,
    /// Number of crashes so far.
    pub crashes: u64,
    /// Time up to which idle blocks have been counted.
    pub idle_counted_at: Time,
    index: usize,
    sequence: u64,
}

impl<L: ConcurrencyLimit> Upstream<L> {
    pub fn new(index: usize, policy: &PolicySettings, model: ModelSettings) -> Self {
        let name: Box<str> = format!("engine-{index}").into();
        Self {
            id: UpstreamId::of(&name),
            name,
            engine: EngineModel::new(model),
            admission: Admission::new(policy.admit),
            retention: Retention::new(policy.retain),
            exports: IndexMap::new(),
            exported_blocks: IndexSet::new(),
            next_wake: None,
            backlog: 0,
            crashes: 0,
            idle_counted_at: Time::ZERO,
            index,
            sequence: 0,
        }
    }

    /// Returns the sidecar's next announcement.
    pub fn announcement(&mut self, now: Time) -> Announcement {
        self.sequence += 1;
        let engine = self.engine.load(now).unwrap_or_default();
        let state = if self.engine.is_down() {
            UpstreamState::Failing
        } else {
            UpstreamState::Serving
        };
        Announcement {
            name: self.name.clone(),
            incarnation: Incarnation(1),
            sequence: self.sequence,
            addr: ([127, 0, 0, 1], 1).into(),
            data_centre: data_centre(self.index).into(),
            kind: UpstreamKind::Engine {
                models: [MODEL].into(),
            },
            state,
            load: Load {
                queued: u32::try_from(self.admission.queued()).unwrap_or(u32::MAX),
                running: u32::try_from(self.admission.running()).unwrap_or(u32::MAX),
                backlog: self.backlog,
                kv_permille: engine.kv_permille,
                token_gap_us: engine.token_gap_us,
                age_ms: 0,
            },
        }
    }

    /// Updates the concurrency limit from the engine's latest load report.
    pub fn observe(&mut self, now: Time) {
        if let Some(report) = self.engine.load(now) {
            let observation = Observation {
                token_gap: Duration::from_micros(report.token_gap_us.into()),
                kv_permille: report.kv_permille,
            };
            self.admission.observe(now, observation);
        }
    }

    /// Carries out a retention action. `blocks` are the blocks of the program's
    /// history, of which the first `shared` are shared with other programs.
    pub fn apply_retention(
        &mut self,
        now: Time,
        action: &RetentionAction,
        blocks: &[u64],
        shared: u32,
    ) {
        let own = blocks.get(shared as usize..).unwrap_or_default();
        match action {
            RetentionAction::Export(program) => {
                let export = self.engine.export(blocks);
                self.exported_blocks
                    .extend(export.blocks.iter().skip(shared as usize));
                self.exports.insert(*program, export);
                self.engine.release(now, own);
            }
            RetentionAction::Import(program) => {
                if let Some(export) = self.remove_export(*program) {
                    self.engine.import(now, &export, shared);
                }
            }
            RetentionAction::Release(program) => {
                self.remove_export(*program);
                self.engine.release(now, own);
            }
            RetentionAction::QueryEnded(_) => {}
        }
    }

    fn remove_export(&mut self, program: ProgramId) -> Option<KvExport> {
        let export = self.exports.swap_remove(&program)?;
        for hash in &export.blocks {
            self.exported_blocks.swap_remove(hash);
        }
        Some(export)
    }
}
