//! Memory of the permits of accounts at a front and at the control leader:
//! `cargo run -p quay_policy --example quota_memory`.

use {
    quay_policy::{
        AccountLimit, FleetQuotaAllocator, FleetQuotaHolder, FleetQuotaSettings, Permission,
    },
    quay_types::{AccountId, RequestRate, Time},
    std::{fs, time::Duration},
};

/// Resident memory of this process in KiB.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kib.and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

fn main() {
    let cfg = FleetQuotaSettings::default();
    // Each front uses each account, or one in 18: 66,000 pairs, as at 11,000 requests a
    // second of which each pair is kept for 6 s.
    for (accounts, one_in) in [(900, 1), (1_800, 1), (3_600, 1), (3_600, 18)] {
        let limit = AccountLimit {
            rate: RequestRate(5_000),
            burst: 5,
        };
        let limits: Vec<_> = (0..accounts).map(|it| (AccountId(it), limit)).collect();
        let before = resident();
        let holders = (0..330).map(|front| {
            let mut holder = FleetQuotaHolder::new(front, 1, cfg);
            holder.set_limits(1, limits.clone());
            holder
        });
        let mut holders: Vec<_> = holders.collect();
        let with_fronts = resident();
        let mut leader = FleetQuotaAllocator::new(Time::ZERO, 1, cfg);
        leader.set_limits(Time::ZERO, 1, limits.clone());
        let now = Time::ZERO + Duration::from_secs(1);
        for (front, holder) in holders.iter_mut().enumerate() {
            for (account, _) in limits.iter().skip(front % one_in).step_by(one_in) {
                let _: Permission = holder.permit(now, *account, false, false);
            }
            if let Some(req) = holder.next_request(now) {
                leader.grant(now, &req);
            }
        }
        println!(
            "accounts {accounts}, one in {one_in} used: front {} KiB, leader with 330 fronts {} KiB",
            (with_fronts - before) / 330,
            resident().saturating_sub(with_fronts),
        );
        drop((holders, leader));
    }
}
