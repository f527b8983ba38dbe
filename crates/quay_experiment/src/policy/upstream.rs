//! One upstream of a run: its engine and the decisions of its sidecar.

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

/// The model that all programs use.
pub const MODEL: ModelId = ModelId(1);

/// Data centres of a run.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// Share of cache events that are lost while things fail, in thousandths.
const EVENT_LOSS: u16 = 200;

/// The engines of a run.
pub fn model_settings(seed: u64, faults: bool) -> ModelSettings {
    ModelSettings {
        kv_blocks: 2_048,
        event_loss_permille: if faults { EVENT_LOSS } else { 0 },
        seed,
        ..ModelSettings::default()
    }
}

/// Name of the data centre of a place in a list.
pub fn data_centre(at: usize) -> &'static str {
    DATA_CENTRES[at % DATA_CENTRES.len()]
}

/// One upstream.
pub struct Upstream<L> {
    pub id: UpstreamId,
    pub name: Box<str>,
    pub engine: EngineModel,
    pub gate: Admission<L>,
    pub retention: Retention,
    /// Exported KV of paused programs.
    pub exports: IndexMap<ProgramId, KvExport>,
    /// Blocks of the exports.
    pub exported: IndexSet<u64>,
    /// When the engine is next looked at.
    pub wake: Option<Time>,
    /// Prompt tokens of admitted and waiting calls that have no first token yet.
    pub backlog: u64,
    /// Crashes so far.
    pub crashes: u64,
    /// Time at which idle blocks were last counted.
    pub counted: Time,
    at: usize,
    sequence: u64,
}

impl<L: ConcurrencyLimit> Upstream<L> {
    pub fn new(at: usize, policy: &PolicySettings, model: ModelSettings) -> Self {
        let name: Box<str> = format!("engine-{at}").into();
        Self {
            id: UpstreamId::of(&name),
            name,
            engine: EngineModel::new(model),
            gate: Admission::new(policy.admit),
            retention: Retention::new(policy.retain),
            exports: IndexMap::new(),
            exported: IndexSet::new(),
            wake: None,
            backlog: 0,
            crashes: 0,
            counted: Time::ZERO,
            at,
            sequence: 0,
        }
    }

    /// What the sidecar announces now.
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
            data_centre: data_centre(self.at).into(),
            kind: UpstreamKind::Engine {
                models: [MODEL].into(),
            },
            state,
            load: Load {
                queued: u32::try_from(self.gate.queued()).unwrap_or(u32::MAX),
                running: u32::try_from(self.gate.running()).unwrap_or(u32::MAX),
                backlog: self.backlog,
                kv_permille: engine.kv_permille,
                token_gap_us: engine.token_gap_us,
                age_ms: 0,
            },
        }
    }

    /// Lets the gate learn from the engine's late report.
    pub fn observe(&mut self, now: Time) {
        if let Some(report) = self.engine.load(now) {
            let seen = Observation {
                token_gap: Duration::from_micros(report.token_gap_us.into()),
                kv_permille: report.kv_permille,
            };
            self.gate.observe(now, seen);
        }
    }

    /// Carries out what retention decided; `blocks` are those of the program's
    /// history, of which the first `shared` belong to others too.
    pub fn retain(&mut self, now: Time, action: &RetentionAction, blocks: &[u64], shared: u32) {
        let own = blocks.get(shared as usize..).unwrap_or_default();
        match action {
            RetentionAction::Export(program) => {
                let export = self.engine.export(blocks);
                self.exported
                    .extend(export.blocks.iter().skip(shared as usize));
                self.exports.insert(*program, export);
                self.engine.release(now, own);
            }
            RetentionAction::Import(program) => {
                if let Some(export) = self.take_export(*program) {
                    self.engine.import(now, &export, shared);
                }
            }
            RetentionAction::Release(program) => {
                self.take_export(*program);
                self.engine.release(now, own);
            }
            RetentionAction::QueryEnded(_) => {}
        }
    }

    fn take_export(&mut self, program: ProgramId) -> Option<KvExport> {
        let export = self.exports.swap_remove(&program)?;
        for hash in &export.blocks {
            self.exported.swap_remove(hash);
        }
        Some(export)
    }
}
