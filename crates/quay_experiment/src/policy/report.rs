//! Runs the policies in all scenarios and formats the results as tables.

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

/// Offered loads in thousandths of the engines' capacity.
const LOADS_PERMILLE: [u32; 3] = [500, 900, 1_300];

/// Number of runs that are simulated in parallel.
const THREADS: usize = 3;

/// Results of one policy in one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the scenario.
    pub scenario: Box<str>,
    /// Name of the policy.
    pub policy: &'static str,
    /// Measurements of the run.
    #[serde(flatten)]
    pub stats: Stats,
}

/// Results of all runs with one seed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Results, ordered by scenario and then by policy.
    pub rows: Vec<Row>,
}

/// Returns all scenarios of a report.
fn scenarios() -> Vec<Scenario> {
    let mut list = Vec::new();
    for deployment in Deployment::ALL {
        for load in LOADS_PERMILLE {
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

/// Runs every policy whose name contains one of the comma-separated parts of
/// `only` in every scenario whose name contains `within`.
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
                    let index = next_job_index(&next);
                    let Some((scenario, policy)) = jobs.get(index) else {
                        return;
                    };
                    let row = run_policy(policy, scenario, seed).map(|stats| Row {
                        scenario: scenario.name().into(),
                        policy,
                        stats,
                    });
                    rows.lock().unwrap_or_else(PoisonError::into_inner)[index] = row;
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

fn next_job_index(next: &Mutex<usize>) -> usize {
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
                writeln!(f, "\n{scenario}\n{TABLE_HEADER}")?;
            }
            writeln!(f, "{row}")?;
        }
        Ok(())
    }
}

/// Header of each table.
const TABLE_HEADER: &str = "\
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
