//! `sapphirequay audit`: the audit trail.

use {
    crate::operator::{Operator, operator_args, unexpected, utc},
    quay_config::AuditRecord,
    quay_types::ContentDigest,
    sapphirequayd::{ControlError, ControlReply, ControlRequest},
    serde_json::json,
    std::{error::Error, thread, time::Duration},
};

/// Records in one answer.
const PAGE: u32 = 500;

/// Interval at which new records are asked for.
const FOLLOW_EVERY: Duration = Duration::from_secs(1);

operator_args!(
    /// Arguments of `audit`.
    AuditArgs {
        #[options(no_short, meta = "N", help = "begin after this sequence number")]
        after: u64,
        #[options(no_short, help = "go on with new records as they come")]
        follow: bool,
    }
);

/// A reader of the trail, which checks that no record is missing or changed.
pub struct Trail {
    after: u64,
    chain: Option<ContentDigest>,
}

impl Trail {
    /// A reader that begins after a sequence number.
    pub const fn after(sequence: u64) -> Self {
        let chain = if sequence == 0 {
            Some(ContentDigest::ZERO)
        } else {
            None
        };
        Self {
            after: sequence,
            chain,
        }
    }

    /// The next records; none at the end.
    pub fn next(&mut self, operator: &mut Operator) -> Result<Box<[AuditRecord]>, Box<dyn Error>> {
        let req = ControlRequest::Audit {
            after: self.after,
            limit: PAGE,
        };
        let records = match operator.ask(&req)? {
            ControlReply::Audit(records) => records,
            other => return Err(unexpected(&other)),
        };
        for record in &records {
            self.check(record);
        }
        Ok(records)
    }

    /// Warns of a gap or of a record that does not follow on the one before.
    fn check(&mut self, record: &AuditRecord) {
        let follows = record.sequence == self.after + 1;
        if !follows && self.after > 0 {
            eprintln!(
                "audit: records {} to {} are no longer kept",
                self.after + 1,
                record.sequence - 1
            );
        }
        let chained = self.chain.filter(|_| follows);
        if chained.is_some_and(|chain| record.chain_after(chain) != record.chain) {
            eprintln!(
                "audit: record {} does not follow on the one before",
                record.sequence
            );
        }
        self.after = record.sequence;
        self.chain = Some(record.chain);
    }
}

/// Prints the trail, and follows it if asked.
pub fn run(args: &AuditArgs) -> Result<(), Box<dyn Error>> {
    let mut operator = args.connect()?;
    let mut trail = Trail::after(args.after);
    loop {
        let records = match trail.next(&mut operator) {
            Ok(records) => records,
            // Without a quorum the trail goes on later.
            Err(err) if args.follow && err.is::<ControlError>() => {
                eprintln!("audit: {err}");
                Box::default()
            }
            Err(err) => return Err(err),
        };
        for record in &records {
            print_record(args.json, record);
        }
        if records.is_empty() {
            if !args.follow {
                return Ok(());
            }
            thread::sleep(FOLLOW_EVERY);
        }
    }
}

/// Prints one record.
pub fn print_record(json: bool, record: &AuditRecord) {
    if json {
        let value = json!({
            "sequence": record.sequence, "time_ms": record.time_ms, "author": record.author,
            "id": &*record.id.0, "action": record.action, "cause": record.cause,
            "refused": record.refused, "index": record.index.0,
            "before": record.before.to_string(), "after": record.after.to_string(),
            "chain": record.chain.to_string(),
        });
        println!("{value}");
        return;
    }
    let outcome = record.refused.as_deref().unwrap_or("done");
    println!(
        "{} {} author={} action={:?} outcome={outcome:?} index={} id={} cause={:?} before={} after={}",
        record.sequence,
        utc(record.time_ms),
        record.author,
        record.action,
        record.index,
        record.id,
        record.cause,
        record.before,
        record.after
    );
}
