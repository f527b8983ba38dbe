//! Arguments, connection and output shared by the commands for operators.

use {
    quay_config::{Accepted, Action, ChangeId},
    quay_link::{KeyFiles, LinkRole, Links},
    rand::Rng as _,
    sapphirequayd::{ControlClient, ControlError, ControlReply, ControlRequest, OperatorCommand},
    std::{error::Error, net::SocketAddr, path::Path, thread, time::Duration},
};

/// Maximum number of times one request is sent while its reply is lost.
const MAX_SENDS: u32 = 6;

/// Delay before a request is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(500);

/// Declares the arguments of a command that connects to the ledger hosts.
macro_rules! operator_args {
    ($(#[$doc:meta])* $name:ident { $($fields:tt)* }) => {
        $(#[$doc])*
        #[derive(Debug, gumdrop::Options)]
        pub struct $name {
            #[options(help = "print this help")]
            help: bool,
            #[options(no_short, meta = "ADDR", help = "address of a ledger host; may be repeated")]
            ledger: Vec<std::net::SocketAddr>,
            #[options(no_short, meta = "DIR", help = "folder that holds the keys")]
            keys: Option<std::path::PathBuf>,
            #[options(no_short, meta = "NAME", help = "operator whose keys are used; default: operator.pem")]
            operator: Option<String>,
            #[options(no_short, help = "print JSON")]
            json: bool,
            $($fields)*
        }

        impl $name {
            /// Creates a client of the ledger hosts given with `--ledger`.
            fn connect(&self) -> Result<$crate::operator::Operator, Box<dyn std::error::Error>> {
                $crate::operator::Operator::connect(
                    &self.ledger,
                    self.keys.as_deref(),
                    self.operator.as_deref(),
                )
            }
        }
    };
}

pub(crate) use operator_args;

/// Client of the control group that authenticates as an operator.
pub struct Operator {
    client: ControlClient,
}

impl Operator {
    /// Creates a client of `hosts` with the keys of the operator `name`.
    pub fn connect(
        hosts: &[SocketAddr],
        keys: Option<&Path>,
        name: Option<&str>,
    ) -> Result<Self, Box<dyn Error>> {
        if hosts.is_empty() {
            return Err("missing option: --ledger ADDR".into());
        }
        let dir = keys.ok_or("missing option: --keys DIR")?;
        let files = match name {
            Some(name) => KeyFiles::for_operator(dir, name),
            None => KeyFiles::for_role(dir, LinkRole::Operator),
        };
        let links = Links::connect_only(files.load()?)?;
        Ok(Self {
            client: ControlClient::new(links, hosts),
        })
    }

    /// Sends a request, up to `MAX_SENDS` times while its reply is lost. Sending
    /// again is safe: a request with a known id returns the first reply.
    pub fn request(&mut self, req: &ControlRequest) -> Result<ControlReply, ControlError> {
        let mut sends = 1;
        loop {
            match self.client.request(req.clone()) {
                Err(ControlError::Unknown(why)) if sends < MAX_SENDS => {
                    log::warn!("event=resend sends={sends} cause={why:?}");
                    sends += 1;
                    thread::sleep(RESEND_DELAY);
                }
                answer => return answer,
            }
        }
    }

    /// Submits an action and returns its change id and its result. The action
    /// is only validated if `dry_run` is set.
    pub fn submit(
        &mut self,
        action: Action,
        id: Option<&str>,
        cause: &str,
        dry_run: bool,
    ) -> Result<(ChangeId, Accepted), Box<dyn Error>> {
        let id = ChangeId(id.map_or_else(random_id, Into::into));
        let command = OperatorCommand {
            id: id.clone(),
            cause: cause.into(),
            action,
            dry_run,
        };
        match self.request(&ControlRequest::Command(Box::new(command))) {
            Ok(ControlReply::Command(Ok(accepted))) => Ok((id, accepted)),
            Ok(ControlReply::Command(Err(refusal))) => Err(format!("refused: {refusal}").into()),
            Ok(other) => Err(unexpected_reply(&other)),
            Err(fault) => Err(format!("change id {id}: {fault}").into()),
        }
    }
}

/// Error for a reply whose type does not match the request.
pub fn unexpected_reply(reply: &ControlReply) -> Box<dyn Error> {
    format!("unexpected reply from the ledger host: {reply:?}").into()
}

/// Random change id, unique with high probability.
fn random_id() -> Box<str> {
    format!("op-{:016x}", rand::rng().next_u64()).into()
}

/// Prints the result of an accepted action.
pub fn print_accepted(json: bool, id: &ChangeId, accepted: &Accepted) {
    if json {
        let value = serde_json::json!({
            "id": &*id.0, "index": accepted.index.0, "version": accepted.version,
            "digest": accepted.digest.to_string(),
        });
        println!("{value}");
    } else {
        println!(
            "accepted id={id} index={} version={}",
            accepted.index, accepted.version
        );
    }
}

/// Seconds in a day.
const DAY_S: u64 = 86_400;

/// Formats milliseconds since the Unix epoch as `2026-12-03T21:09:00Z`.
pub fn format_utc(time_ms: u64) -> String {
    let seconds = time_ms / 1_000;
    let (year, month, day) = civil_date(seconds / DAY_S);
    let second_of_day = seconds % DAY_S;
    let (hour, minute, second) = (
        second_of_day / 3_600,
        second_of_day / 60 % 60,
        second_of_day % 60,
    );
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts days since 1970-01-01 to year, month and day.
fn civil_date(mut days: u64) -> (u64, u64, u64) {
    let mut year = 1970;
    loop {
        let length = if is_leap(year) { 366 } else { 365 };
        if days < length {
            break;
        }
        days -= length;
        year += 1;
    }
    let february = if is_leap(year) { 29 } else { 28 };
    let months = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 1;
    for length in months {
        if days < length {
            break;
        }
        days -= length;
        month += 1;
    }
    (year, month, days + 1)
}

/// Whether a year has 366 days.
const fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}
