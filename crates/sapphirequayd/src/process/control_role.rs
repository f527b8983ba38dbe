//! Starts the control group on a ledger host and the threads that apply changes
//! of configuration and key files.

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
        version::{CurrentRules, Rules},
    },
    quay_config::{ConfigStore, Document, check},
    quay_link::{KeyFiles, Links},
    quay_members::{Directory, MembersSettings},
    quay_types::GroupId,
    std::{thread, time::Duration},
};

/// Id of the group that stores configuration, audit trail and quarantine.
const CONTROL_GROUP: GroupId = GroupId(0);

/// Interval between checks of the key files.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which work begun under an older index is accepted, until a document
/// sets the grace period.
const DEFAULT_GRACE: Duration = Duration::from_secs(6);

/// Starts the upstream directory and this host's replica of the control group.
pub fn start_control(
    settings: &LedgerSettings,
    groups: &GroupHost,
    clock: Clock,
) -> Result<(Mailbox<DirectoryMsg>, ControlService), StartError> {
    let first = settings
        .initial_document()
        .map_err(starting("[ledger] document"))?;
    if let Some(text) = &first {
        let checked = Document::parse(text).map_err(|error| vec![error]);
        let checked = checked.and_then(|document| check(&document));
        checked.map_err(|mut errors| StartError::Document(errors.swap_remove(0)))?;
    }
    let run = Clock::wall_ms();
    let directory = Directory::new(clock.now(), run, MembersSettings::default());
    let directory = spawn("directory", clock, directory).map_err(starting("directory"))?;
    let group = groups.start(CONTROL_GROUP, ConfigStore::default())?;
    let control = ControlService::new(group, directory.clone(), clock, DEFAULT_GRACE);
    if let Some(text) = first {
        control.bootstrap(text).map_err(starting("control group"))?;
    }
    Ok((directory, control))
}

/// Returns the callback that applies a changed configuration to the roles of
/// this process: drain marks, and the oldest configuration index accepted.
pub fn config_change_handler(settings: &Settings, roles: &Roles) -> impl Fn(&Rules) + Send + use<> {
    let upstream = settings.sidecar.as_ref().map(|cfg| cfg.upstream.clone());
    let gate = roles.sidecar.as_ref().map(|role| role.gate.clone());
    let directory = roles.directory.clone();
    let control = roles.control.clone();
    move |rules| {
        if let (Some(upstream), Some(gate)) = (&upstream, &gate) {
            gate.send(GateMsg::Drain(rules.is_drained(upstream)));
        }
        if let Some(directory) = &directory {
            directory.send(DirectoryMsg::Drained(rules.drained_upstreams().collect()));
        }
        if let (Some(control), Some(config)) = (&control, rules.config()) {
            control.observe_config(rules.index(), config.grace);
        }
    }
}

/// Subscribes this process to the configuration of the control group.
pub fn subscribe(
    settings: &Settings,
    links: &Links,
    current: &CurrentRules,
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

/// Polls the key files and reloads the identity of the links when they change.
pub fn watch_keys(links: &Links, files: &KeyFiles) {
    let mut seen = files.digest();
    loop {
        thread::sleep(KEY_CHECK_INTERVAL);
        let now = files.digest();
        if now == seen {
            continue;
        }
        // Certificate and key are written one after the other: a pair that does
        // not match yet is loaded again at the next check.
        match files.load().and_then(|identity| links.reload(identity)) {
            Ok(()) => {
                log::info!("event=keys_reloaded cert={}", files.cert.display());
                seen = now;
            }
            Err(err) => log::warn!("event=keys_not_reloaded cause={err:?}"),
        }
    }
}
