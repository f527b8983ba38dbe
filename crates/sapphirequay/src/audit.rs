//! `sapphirequay audit`: prints the audit trail and verifies its hash chain.

use {
    crate::operator::{Operator, format_utc, operator_args, unexpected_reply},
    quay_config::AuditRecord,
    quay_types::ContentDigest,
    sapphirequayd::{ControlError, ControlReply, ControlRequest},
    serde_json::json,
    std::{error::Error, thread, time::Duration},
};

/// Maximum number of records in one reply.
const PAGE_RECORDS: u32 = 500;

/// Interval at which `--follow` polls for new records.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

operator_args!(
    /// Arguments of `audit`.
    AuditArgs {
        #[options(no_short, meta = "N", help = "print only records after this sequence number")]
        after: u64,
        #[options(no_short, help = "keep running and print new records")]
        follow: bool,
    }
);

/// Reader of the audit trail that reports missing and altered records.
pub struct Trail {
    after: u64,
    chain: Option<ContentDigest>,
}

impl Trail {
    /// Creates a reader that starts after a sequence number. If that number is
    /// not 0, the chain of the first record is not verified.
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

    /// Reads the next records; empty at the end of the trail.
    pub fn next(&mut self, operator: &mut Operator) -> Result<Box<[AuditRecord]>, Box<dyn Error>> {
        let req = ControlRequest::Audit {
            after: self.after,
            limit: PAGE_RECORDS,
        };
        let records = match operator.request(&req)? {
            ControlReply::Audit(records) => records,
            other => return Err(unexpected_reply(&other)),
        };
        for record in &records {
            self.verify(record);
        }
        Ok(records)
    }

    /// Warns of a gap in the sequence numbers or of a mismatch in the chain.
    fn verify(&mut self, record: &AuditRecord) {
        let follows = record.sequence == self.after + 1;
        if !follows && self.after > 0 {
            eprintln!(
                "audit: records {} to {} are no longer stored",
                self.after + 1,
                record.sequence - 1
            );
        }
        let chained = self.chain.filter(|_| follows);
        if chained.is_some_and(|chain| record.chain_after(chain) != record.chain) {
            eprintln!("audit: hash chain broken at record {}", record.sequence);
        }
        self.after = record.sequence;
        self.chain = Some(record.chain);
    }
}

/// Prints the trail; with `--follow`, keeps polling for new records.
pub fn run(args: &AuditArgs) -> Result<(), Box<dyn Error>> {
    let mut operator = args.connect()?;
    let mut trail = Trail::after(args.after);
    loop {
        let records = match trail.next(&mut operator) {
            Ok(records) => records,
            // A ledger without a quorum is retried at the next poll.
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
            thread::sleep(FOLLOW_INTERVAL);
        }
    }
}

/// Prints one record as JSON or as a line of text.
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
        format_utc(record.time_ms),
        record.author,
        record.action,
        record.index,
        record.id,
        record.cause,
        record.before,
        record.after
    );
}
