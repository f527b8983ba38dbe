//! `sapphirequay drain` and `undrain`: marks upstreams that are to leave.

use {
    crate::{
        members,
        operator::{operator_args, print_accepted},
    },
    quay_config::Action,
    std::error::Error,
};

operator_args!(
    /// Arguments of `drain` and `undrain`.
    DrainArgs {
        #[options(no_short, meta = "ID", help = "id of the request, to send it again")]
        change_id: Option<String>,
        #[options(no_short, meta = "TEXT", help = "why, for the audit trail")]
        cause: Option<String>,
        #[options(free, required, help = "name of the upstream")]
        upstream: String,
    }
);

/// Sets the mark, or takes it away.
pub fn run(args: &DrainArgs, drained: bool) -> Result<(), Box<dyn Error>> {
    let name: Box<str> = args.upstream.as_str().into();
    let action = if drained {
        Action::Drain(name)
    } else {
        Action::Undrain(name)
    };
    let cause = args.cause.as_deref().unwrap_or_default();
    let mut operator = args.connect()?;
    let (id, accepted) = operator.order(action, args.change_id.as_deref(), cause, false)?;
    print_accepted(args.json, &id, &accepted);
    let known = members::rows(&mut operator)?;
    if drained && !known.iter().any(|row| *row.name == *args.upstream) {
        // A mark may come before its upstream; a slip of the pen looks the same.
        eprintln!("warning: no upstream {:?} is announced", args.upstream);
    }
    Ok(())
}
