//! `sapphirequay quotas`: lists the accounts' limits and their use in a gateway.

use {
    gumdrop::Options,
    std::{error::Error, net::SocketAddr, time::Duration},
};

/// Time-out of the request; the control host asks the leader for up to 0.85 s.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Arguments of `quotas`.
#[derive(Debug, Options)]
pub struct QuotasArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        required,
        meta = "ADDR",
        help = "address at which a control host of the gateway serves operators"
    )]
    control: Option<SocketAddr>,
}

/// Prints one line for each account with a limit.
pub fn run(args: &QuotasArgs) -> Result<(), Box<dyn Error>> {
    let control = args.control.ok_or("--control is required")?;
    let agent = ureq::AgentBuilder::new().timeout(TIMEOUT).build();
    let response = agent.get(&format!("http://{control}/quotas")).call()?;
    print!("{}", response.into_string()?);
    Ok(())
}
