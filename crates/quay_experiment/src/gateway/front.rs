//! A front: what it knows of the upstreams, and its processor.

use {
    super::settings::WorldSettings,
    quay_members::Directory,
    quay_policy::NewProgram,
    quay_routes::{CallHead, PromptPart, TurnHead, UpstreamLoad},
    quay_types::{Time, UpstreamId},
    sapphirequayd::{Pool, SelectedUpstream, Upstreams},
    std::time::Duration,
};

/// Service of all upstreams.
pub const SERVICE: &str = "service";

/// Data centres of fronts and upstreams, in rotation.
pub const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// A turn as a front sees it.
#[derive(Debug, Clone, Copy)]
pub struct Turn<'a> {
    /// Number of the program.
    pub program: usize,
    /// Parts of the prompt.
    pub prompt: &'a [PromptPart],
    /// Whether it continues an earlier turn.
    pub continues: bool,
    /// Random number.
    pub draw: u64,
}

/// A simulated front.
#[derive(Debug)]
pub struct Front {
    upstreams: Upstreams,
    index: usize,
    /// Time from which on its processor is free.
    pub free_at: Time,
    /// Time of its latest start.
    pub started: Time,
}

impl Front {
    pub fn new(cfg: &WorldSettings, index: usize, now: Time) -> Self {
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        Self {
            upstreams: Upstreams::with_decisions(data_centre, cfg.decisions),
            index,
            free_at: now,
            started: now,
        }
    }

    /// Time at which the processor has done `work` that arrives now.
    pub fn run(&mut self, now: Time, work: Duration) -> Time {
        self.free_at = self.free_at.max(now) + work;
        self.free_at
    }

    /// Reads the changes of the directory.
    pub fn follow(&mut self, now: Time, directory: &mut Directory) {
        loop {
            let req = self.upstreams.next_request(self.index as u64 + 1);
            let changes = directory.changes(now, &req);
            let more = changes.more;
            self.upstreams.apply_changes(now, changes);
            if !more {
                return;
            }
        }
    }

    /// Whether a new program is refused.
    pub fn refuses(&self, now: Time, cfg: &WorldSettings, urgent: bool, draw: u64) -> bool {
        let program = NewProgram {
            objective: cfg.load.objective,
            most_urgent: urgent,
            draw,
        };
        let refused = self.upstreams.refuse_program(now, SERVICE, &program);
        refused.is_some()
    }

    /// Selects an upstream for a turn.
    pub fn select(
        &mut self,
        now: Time,
        cfg: &WorldSettings,
        turn: Turn<'_>,
    ) -> Option<SelectedUpstream> {
        let name: Box<str> = format!("program-{}", turn.program).into();
        let head = CallHead {
            id: name.clone(),
            program: Some(name),
            turn: Some(TurnHead {
                prior: turn.continues.then(|| "prior".into()),
                ..TurnHead::default()
            }),
            prompt: turn.prompt.to_vec(),
            ..CallHead::default()
        };
        let pool = Pool {
            sticky: true,
            memory_tokens: cfg.engine.memory_tokens,
            ..Pool::of(SERVICE)
        };
        self.upstreams.select(now, &pool, &head, &[], turn.draw)
    }

    /// Records the head of a response.
    pub fn record_head(
        &mut self,
        now: Time,
        cfg: &WorldSettings,
        (id, load): (UpstreamId, UpstreamLoad),
        wait: Duration,
    ) {
        self.upstreams.apply_load_report(now, id, load);
        self.upstreams
            .record_wait(now, SERVICE, wait, cfg.load.objective);
    }

    /// Records the end of a request, with its time for each token if it succeeded.
    pub fn record_end(&mut self, now: Time, id: UpstreamId, token_time: Option<Duration>) {
        if let Some(time) = token_time {
            self.upstreams.record_success(now, id, time);
        }
        self.upstreams.record_end(now, id);
    }

    /// Does what a front does at intervals.
    pub fn tick(&mut self, now: Time) {
        self.upstreams.tick(now);
    }
}
