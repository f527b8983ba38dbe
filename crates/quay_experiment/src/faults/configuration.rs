//! Trial for the configuration: a change is in force on every daemon within
//! seconds and never reverts.

use {
    crate::faults::{
        Decisions, Promise, Score, Trial,
        random::{chance, draw, draw_ms, draw_slot},
    },
    quay_config::{
        Action, ChangeId, ConfigAnswer, ConfigCommand, ConfigQuery, ConfigReply, ConfigStore,
        Origin, Poll, SectionRevision, Subscriber, Update,
    },
    quay_quorum::StateMachine as _,
    quay_types::{ConfigIndex, ContentDigest, Epoch, LogIndex, Time},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Initial configuration document of the control group.
const DOCUMENT: &str = "[platform.owners]\nplatform = [\"root\"]\nteam = [\"ada\", \"bruno\"]\n\
    [platform.models.m]\n\n[team.accounts.shop]\n\
    key_sha256 = \"2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824\"\nweight = 1\n";

/// Section that the operators change concurrently.
const SECTION: &str = "team";

/// Number of replicas of the control group.
const REPLICAS: usize = 3;

/// Number of daemons that poll the control group.
const DAEMONS: usize = 5;

/// Interval between configuration polls of a daemon.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which a change must be in force on every reachable daemon.
const SPREAD_LIMIT: Duration = Duration::from_secs(6);

/// A daemon and the configuration that it holds.
struct Daemon {
    subscriber: Subscriber,
    /// Highest index that was in force on this daemon, across restarts.
    highest: ConfigIndex,
    next_poll: Time,
    /// Time until which the daemon cannot reach any replica.
    unreachable_until: Time,
    /// Time since which the daemon can reach the leader.
    reachable_since: Time,
}

/// An update in flight to a daemon.
struct Packet {
    due: Time,
    daemon: usize,
    run: u64,
    update: Update,
    confirmed: bool,
}

/// A control group, operators with concurrent changes, and daemons behind
/// unreliable links.
pub struct ConfigurationWorld {
    now: Time,
    mutated: bool,
    /// Committed commands, in log order; a replica may have applied only a
    /// prefix.
    log: Vec<ConfigCommand>,
    replicas: Vec<(ConfigStore, usize)>,
    /// Index of the leader; followers may lag behind.
    leader: usize,
    daemons: Vec<Daemon>,
    /// Restart counter of each daemon; packets for an earlier run are dropped.
    runs: Vec<u64>,
    in_flight: Vec<Packet>,
    /// Each change with its first reply, by change number.
    answers: BTreeMap<u64, (ConfigCommand, ConfigReply)>,
    next_change: u64,
    /// Content digest of each index, as first seen on any daemon.
    digests: BTreeMap<ConfigIndex, ContentDigest>,
    /// Last accepted index and the time of its acceptance.
    accepted: (ConfigIndex, Time),
}

impl Trial for ConfigurationWorld {
    fn new(_: Promise, decisions: Decisions, _: &mut ChaCha8Rng) -> Self {
        let daemon = || Daemon {
            subscriber: Subscriber::default(),
            highest: ConfigIndex(0),
            next_poll: Time::ZERO,
            unreachable_until: Time::ZERO,
            reachable_since: Time::ZERO,
        };
        let mut world = Self {
            now: Time::from_millis(1),
            mutated: decisions == Decisions::Mutated,
            log: Vec::new(),
            replicas: (0..REPLICAS).map(|_| (ConfigStore::default(), 0)).collect(),
            leader: 0,
            daemons: (0..DAEMONS).map(|_| daemon()).collect(),
            runs: vec![0; DAEMONS],
            in_flight: Vec::new(),
            answers: BTreeMap::new(),
            next_change: 0,
            digests: BTreeMap::new(),
            accepted: (ConfigIndex(0), Time::ZERO),
        };
        let bootstrap = world.new_command(
            "ledger-1",
            Origin::Process,
            Action::Bootstrap(DOCUMENT.into()),
        );
        let _ = world.commit(bootstrap);
        world
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.now = self.now + draw_ms(rng, 100);
        if chance(rng, 100) {
            self.submit_changes(rng, score);
        }
        self.inject_faults(rng, score);
        self.process_due(rng, score);
    }

    fn settle(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        for daemon in &mut self.daemons {
            daemon.unreachable_until = Time::ZERO;
        }
        for _ in 0..SPREAD_LIMIT.as_millis() / 50 {
            self.now = self.now + Duration::from_millis(50);
            self.process_due(rng, score);
        }
        let want = self.accepted.0;
        for daemon in &self.daemons {
            let has = daemon.subscriber.image().index;
            score.check(has == want, || {
                format!("{has} is in force on a daemon after healing, not {want}")
            });
        }
    }
}

impl ConfigurationWorld {
    /// Applies commands on replicas, polls for the daemons and delivers due
    /// updates.
    fn process_due(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        for (store, applied) in &mut self.replicas {
            if *applied < self.log.len() && chance(rng, 50) {
                let _ = apply_next(&self.log, store, applied);
            }
        }
        for slot in 0..DAEMONS {
            self.poll(slot, rng);
        }
        let now = self.now;
        let due: Vec<_> = self
            .in_flight
            .extract_if(.., |packet| packet.due <= now)
            .collect();
        for packet in due {
            self.receive(packet, score);
        }
        self.check_spread(score);
    }

    // -----------------------------------------------------------------------
    // Operators

    /// Creates a command with a new change id.
    fn new_command(&mut self, author: &str, origin: Origin, action: Action) -> ConfigCommand {
        self.next_change += 1;
        ConfigCommand {
            id: ChangeId(self.next_change.to_string().into()),
            author: author.into(),
            origin,
            cause: "trial".into(),
            time_ms: self.now.as_millis(),
            action,
        }
    }

    /// Commits a command; the leader applies every command up to and including
    /// it.
    fn commit(&mut self, command: ConfigCommand) -> ConfigReply {
        self.log.push(command);
        let (store, applied) = &mut self.replicas[self.leader];
        let mut reply = Err(quay_config::Refusal::NoDocument);
        while *applied < self.log.len() {
            reply = apply_next(&self.log, store, applied);
        }
        if let Ok(accepted) = &reply
            && accepted.index > self.accepted.0
        {
            self.accepted = (accepted.index, self.now);
        }
        reply
    }

    /// Submits concurrent changes from the same base revision, or resends an
    /// earlier change.
    fn submit_changes(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        if chance(rng, 300) && !self.answers.is_empty() {
            self.resend(rng, score);
            return;
        }
        let section = &self.replicas[self.leader].0.image().sections[SECTION];
        let base = SectionRevision {
            version: section.version,
            digest: section.digest,
        };
        let mut accepted = 0;
        let racers = 1 + draw(rng, 2);
        for racer in 0..racers {
            let author = if racer == 0 { "ada" } else { "bruno" };
            let weight = 1 + draw(rng, 900) * 2 + racer;
            let text = DOCUMENT.split("\n\n").nth(1).unwrap_or_default();
            let text = text.replace("weight = 1", &format!("weight = {weight}"));
            let action = Action::Change {
                section: SECTION.into(),
                base,
                text: text.into(),
            };
            let command = self.new_command(author, Origin::Operator, action);
            let number = self.next_change;
            let reply = self.commit(command.clone());
            accepted += u64::from(reply.is_ok());
            self.answers.insert(number, (command, reply));
        }
        score.check(accepted <= 1, || {
            "two changes from one base were accepted".into()
        });
    }

    /// Resends a change, as an operator does when the reply was lost.
    fn resend(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        let slot = draw_slot(rng, self.answers.len());
        let Some((command, first)) = self.answers.values().nth(slot).cloned() else {
            return;
        };
        let before = self.accepted.0;
        let reply = self.commit(command);
        let same = reply == first && self.accepted.0 == before;
        score.check(same, || format!("a resend got {reply:?} after {first:?}"));
    }

    // -----------------------------------------------------------------------
    // Daemons

    /// Polls a replica for a daemon if its poll is due.
    fn poll(&mut self, slot: usize, rng: &mut ChaCha8Rng) {
        let daemon = &mut self.daemons[slot];
        if self.now < daemon.next_poll {
            return;
        }
        daemon.next_poll = self.now + POLL_INTERVAL;
        if self.now < daemon.unreachable_until {
            daemon.reachable_since = daemon.unreachable_until;
            daemon.subscriber.record_no_answer("cut");
            return;
        }
        let poll = daemon.subscriber.poll();
        // Usually asks the leader; sometimes a lagging replica or a former
        // leader.
        let asked = if chance(rng, 200) {
            draw_slot(rng, REPLICAS)
        } else {
            self.leader
        };
        let confirmed = asked == self.leader;
        let update = self.update(asked, poll);
        let delay = if chance(rng, 50) {
            draw_ms(rng, 4_000)
        } else {
            draw_ms(rng, 40)
        };
        let run = self.runs[slot];
        self.in_flight.push(Packet {
            due: self.now + delay,
            daemon: slot,
            run,
            update,
            confirmed,
        });
    }

    /// Returns the answer of a replica to a poll.
    fn update(&self, replica: usize, poll: Poll) -> Update {
        match self.replicas[replica].0.query(&ConfigQuery::Poll(poll)) {
            ConfigAnswer::Update(update) => update,
            _ => Update::Empty,
        }
    }

    /// Delivers an update to a daemon and checks its index and content.
    fn receive(&mut self, packet: Packet, score: &mut Score) {
        if packet.run != self.runs[packet.daemon] {
            return;
        }
        let daemon = &mut self.daemons[packet.daemon];
        if self.mutated {
            // Treats every update as current, as if the daemon had just
            // started.
            daemon.subscriber = Subscriber::default();
        }
        daemon
            .subscriber
            .receive(packet.update, packet.confirmed || self.mutated);
        let (index, digest) = (
            daemon.subscriber.image().index,
            daemon.subscriber.image().digest(),
        );
        if index == ConfigIndex(0) {
            return;
        }
        let highest = daemon.highest;
        score.check(index >= highest, || {
            format!("a daemon went from {highest} back to {index}")
        });
        daemon.highest = highest.max(index);
        let known = *self.digests.entry(index).or_insert(digest);
        score.check(known == digest, || {
            format!("index {index} has two contents")
        });
    }

    /// Checks that every daemon reachable for at least `SPREAD_LIMIT` has the
    /// index that was accepted at least that long ago.
    fn check_spread(&mut self, score: &mut Score) {
        let (index, since) = self.accepted;
        if self.now.since(since) < SPREAD_LIMIT {
            return;
        }
        for daemon in &self.daemons {
            if self.now.since(daemon.reachable_since) < SPREAD_LIMIT
                || self.now < daemon.unreachable_until
            {
                continue;
            }
            let has = daemon.subscriber.image().index;
            score.check(has >= index, || {
                format!("{has} is in force after the limit, not {index}")
            });
        }
    }

    // -----------------------------------------------------------------------
    // Faults

    /// Injects partitions, daemon restarts and leader changes, sometimes
    /// several in one step.
    fn inject_faults(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        while chance(rng, 10) {
            score.record_fault();
            let slot = draw_slot(rng, DAEMONS);
            match draw(rng, 3) {
                0 => self.daemons[slot].unreachable_until = self.now + draw_ms(rng, 60_000),
                1 => self.restart(slot),
                _ => self.change_leader(rng),
            }
        }
    }

    /// Restarts a daemon without any stored configuration.
    fn restart(&mut self, slot: usize) {
        self.runs[slot] += 1;
        self.daemons[slot].subscriber = Subscriber::default();
        self.daemons[slot].next_poll = self.now;
        self.daemons[slot].reachable_since = self.now;
    }

    /// Makes a random replica the leader, with every committed command applied.
    fn change_leader(&mut self, rng: &mut ChaCha8Rng) {
        self.leader = draw_slot(rng, REPLICAS);
        let (store, applied) = &mut self.replicas[self.leader];
        while *applied < self.log.len() {
            let _ = apply_next(&self.log, store, applied);
        }
    }
}

/// Applies the next committed command to a replica.
fn apply_next(log: &[ConfigCommand], store: &mut ConfigStore, applied: &mut usize) -> ConfigReply {
    let command = log[*applied].clone();
    *applied += 1;
    store.apply(LogIndex(*applied as u64), Epoch(1), command)
}
