//! `sapphirequay drain` and `undrain`: set and remove drain marks of upstreams.

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
        #[options(no_short, meta = "ID", help = "change id; reuse it to send the request again")]
        change_id: Option<String>,
        #[options(no_short, meta = "TEXT", help = "reason recorded in the audit trail")]
        cause: Option<String>,
        #[options(free, required, help = "name of the upstream")]
        upstream: String,
    }
);

/// Sets the drain mark of an upstream, or removes it if `drained` is false.
pub fn run(args: &DrainArgs, drained: bool) -> Result<(), Box<dyn Error>> {
    let name: Box<str> = args.upstream.as_str().into();
    let action = if drained {
        Action::Drain(name)
    } else {
        Action::Undrain(name)
    };
    let cause = args.cause.as_deref().unwrap_or_default();
    let mut operator = args.connect()?;
    let (id, accepted) = operator.submit(action, args.change_id.as_deref(), cause, false)?;
    print_accepted(args.json, &id, &accepted);
    let known = members::rows(&mut operator)?;
    if drained && !known.iter().any(|row| *row.name == *args.upstream) {
        // An upstream may be marked before it is announced, so an unknown name
        // is no error; it may also be a typing error.
        eprintln!(
            "warning: no upstream named {:?} is announced",
            args.upstream
        );
    }
    Ok(())
}
