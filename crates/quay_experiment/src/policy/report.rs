//! Runs every policy in every scenario and tabulates what was measured.

use {
    super::{
        policies::{POLICY_NAMES, run_policy},
        scenario::{Deployment, Scenario},
        stats::Stats,
    },
    serde::Serialize,
    std::{
        fmt,
        sync::{Mutex, PoisonError},
        thread,
        time::Duration,
    },
};

/// Loads in thousandths of capacity.
const LOADS: [u32; 3] = [500, 900, 1_300];

/// Runs that go on side by side.
const THREADS: usize = 3;

/// One run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Scenario.
    pub scenario: Box<str>,
    /// Policy.
    pub policy: &'static str,
    /// What was measured.
    #[serde(flatten)]
    pub stats: Stats,
}

/// All runs of a seed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Seed of every random choice.
    pub seed: u64,
    /// Runs, by scenario and then by policy.
    pub rows: Vec<Row>,
}

/// Every scenario of a report.
fn scenarios() -> Vec<Scenario> {
    let mut list = Vec::new();
    for deployment in Deployment::ALL {
        for load in LOADS {
            list.push(Scenario::new(deployment, load, false));
            list.push(Scenario::new(deployment, load, true));
        }
        list.push(Scenario::new(deployment, 900, false).with_many_entries());
        list.push(Scenario {
            flood: true,
            ..Scenario::new(deployment, 900, false)
        });
    }
    list
}

/// Runs every policy whose name contains a part of `only`, which commas
/// separate, in every scenario whose name contains `within`.
#[must_use]
pub fn run_policies(seed: u64, only: &str, within: &str) -> Report {
    let jobs: Vec<(Scenario, &'static str)> = scenarios()
        .into_iter()
        .filter(|scenario| scenario.name().contains(within))
        .flat_map(|scenario| POLICY_NAMES.iter().map(move |name| (scenario, *name)))
        .filter(|(_, name)| only.split(',').any(|part| name.contains(part)))
        .collect();
    let next = Mutex::new(0);
    let rows = Mutex::new(vec![None; jobs.len()]);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let at = take_next(&next);
                    let Some((scenario, policy)) = jobs.get(at) else {
                        return;
                    };
                    let row = run_policy(policy, scenario, seed).map(|stats| Row {
                        scenario: scenario.name().into(),
                        policy,
                        stats,
                    });
                    rows.lock().unwrap_or_else(PoisonError::into_inner)[at] = row;
                }
            });
        }
    });
    let rows = rows.into_inner().unwrap_or_else(PoisonError::into_inner);
    Report {
        seed,
        rows: rows.into_iter().flatten().collect(),
    }
}

fn take_next(next: &Mutex<usize>) -> usize {
    let mut next = next.lock().unwrap_or_else(PoisonError::into_inner);
    *next += 1;
    *next - 1
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        let mut scenario = "";
        for row in &self.rows {
            if row.scenario.as_ref() != scenario {
                scenario = &row.scenario;
                writeln!(f, "\n{scenario}\n{HEAD}")?;
            }
            writeln!(f, "{row}")?;
        }
        Ok(())
    }
}

/// Head of each table.
const HEAD: &str = "\
| policy | mean s | P50 s | P95 s | P99 s | others' P95 s | first token P95 ms | gap P95 ms | again ktok | idle kblk s | wasted engine s | goodput /s | finished | refusals | longest wait s | lost to poison |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stats = &self.stats;
        let latency = &stats.latency_ms;
        write!(f, "| {} ", self.policy)?;
        for value in [
            latency.mean,
            latency.p50,
            latency.p95,
            latency.p99,
            stats.quiet_latency_ms.p95,
        ] {
            write!(f, "| {:.2} ", value / 1e3)?;
        }
        write!(
            f,
            "| {:.0} | {:.1} | {:.0} | {:.1} | {:.1} | {:.2} | {}/{} | {} | {:.1} | {} |",
            stats.first_token_ms.p95,
            stats.token_gap_ms.p95,
            stats.wasted_ktokens,
            stats.idle_kblock_s,
            stats.wasted_engine_s,
            stats.goodput,
            stats.finished,
            stats.programs,
            stats.refusals,
            Duration::from_millis(stats.longest_wait_ms).as_secs_f64(),
            stats.lost_to_poison,
        )
    }
}
