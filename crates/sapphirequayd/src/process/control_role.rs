//! Starts what keeps a process up to the control group.

use {
    crate::{
        process::{
            Clock, ControlClient, ControlService, GateMsg, GroupHost, Mailbox, StartError,
            Subscription,
            daemon::{Roles, starting},
            directory::DirectoryMsg,
            spawn,
        },
        settings::{LedgerSettings, Settings},
        version::{Current, Rules},
    },
    quay_config::{ConfigStore, Document, check},
    quay_link::{KeyFiles, Links},
    quay_members::{Directory, MembersSettings},
    quay_types::GroupId,
    std::{thread, time::Duration},
};

/// The group of configuration, audit trail and quarantine.
const CONTROL_GROUP: GroupId = GroupId(0);

/// Interval at which key files are looked at.
const KEYS_EVERY: Duration = Duration::from_secs(5);

/// Time for which work under an older index is taken until a document says.
const FIRST_GRACE: Duration = Duration::from_secs(6);

/// Starts the directory and this host's part in the control group.
pub fn start_control(
    settings: &LedgerSettings,
    groups: &GroupHost,
    clock: Clock,
) -> Result<(Mailbox<DirectoryMsg>, ControlService), StartError> {
    let first = settings
        .first_document()
        .map_err(starting("[ledger] document"))?;
    if let Some(text) = &first {
        let checked = Document::parse(text).map_err(|fault| vec![fault]);
        let checked = checked.and_then(|document| check(&document));
        checked.map_err(|mut faults| StartError::Document(faults.swap_remove(0)))?;
    }
    let run = Clock::wall_ms();
    let directory = Directory::new(clock.now(), run, MembersSettings::default());
    let directory = spawn("directory", clock, directory).map_err(starting("directory"))?;
    let group = groups.start(CONTROL_GROUP, ConfigStore::default())?;
    let control = ControlService::new(group, directory.clone(), clock, FIRST_GRACE);
    if let Some(text) = first {
        control.found(text).map_err(starting("control group"))?;
    }
    Ok((directory, control))
}

/// What the roles of this process do when the configuration changes.
pub fn follow_marks(settings: &Settings, roles: &Roles) -> impl Fn(&Rules) + Send + use<> {
    let upstream = settings.sidecar.as_ref().map(|cfg| cfg.upstream.clone());
    let gate = roles.sidecar.as_ref().map(|role| role.gate.clone());
    let directory = roles.directory.clone();
    let control = roles.control.clone();
    move |rules| {
        if let (Some(upstream), Some(gate)) = (&upstream, &gate) {
            gate.send(GateMsg::Drain(rules.drained(upstream)));
        }
        if let Some(directory) = &directory {
            directory.send(DirectoryMsg::Drained(rules.all_drained().collect()));
        }
        if let (Some(control), Some(config)) = (&control, rules.config()) {
            control.learn(rules.index(), config.grace);
        }
    }
}

/// Follows the control group.
pub fn subscribe(
    settings: &Settings,
    links: &Links,
    current: &Current,
    changed: impl Fn(&Rules) + Send + 'static,
) -> Result<(), StartError> {
    let mut hosts = settings.link.ledgers.clone();
    if let (Some(own), Some(_)) = (links.local_addr(), &settings.ledger)
        && !hosts.contains(&own)
    {
        hosts.push(own);
    }
    let subscription = Subscription {
        daemon: settings.process.name.clone(),
        client: ControlClient::new(links.clone(), hosts),
        current: current.clone(),
    };
    subscription
        .start(changed)
        .map_err(starting("config subscriber"))
}

/// Looks at the key files again and again, and takes what is new.
pub fn watch_keys(links: &Links, files: &KeyFiles) {
    let mut seen = files.digest();
    loop {
        thread::sleep(KEYS_EVERY);
        let now = files.digest();
        if now == seen {
            continue;
        }
        // Files are written one after the other: a pair that does not fit yet
        // is looked at again.
        match files.load().and_then(|identity| links.reload(identity)) {
            Ok(()) => {
                log::info!("event=keys_reloaded cert={}", files.cert.display());
                seen = now;
            }
            Err(err) => log::warn!("event=keys_not_reloaded cause={err:?}"),
        }
    }
}
