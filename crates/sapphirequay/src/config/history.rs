//! `sapphirequay config history`: prints accepted and refused changes.

use {
    crate::{
        audit::{Trail, print_record},
        operator::operator_args,
    },
    std::error::Error,
};

operator_args!(
    /// Arguments of `config history`.
    HistoryArgs {
        #[options(no_short, meta = "NAME", help = "print only changes of this section")]
        section: Option<String>,
    }
);

/// Prints the changes, oldest first, from the audit trail.
pub fn run(args: &HistoryArgs) -> Result<(), Box<dyn Error>> {
    let mut operator = args.connect()?;
    let mut trail = Trail::after(0);
    loop {
        let records = trail.next(&mut operator)?;
        if records.is_empty() {
            return Ok(());
        }
        for record in &records {
            let section = record.action.strip_prefix("change ");
            let shown = match (&args.section, section) {
                (Some(wanted), Some(section)) => wanted == section,
                (None, Some(_)) => true,
                (_, None) => &*record.action == "found",
            };
            if shown {
                print_record(args.json, record);
            }
        }
    }
}
