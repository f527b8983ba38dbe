//! Configuration: in force everywhere within seconds, and never reverting.

use {
    crate::faults::{
        Decisions, Promise, Score, Trial,
        chance::{chance, draw, draw_ms, draw_slot},
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

/// The document of a new group.
const DOCUMENT: &str = "[platform.owners]\nplatform = [\"root\"]\nteam = [\"ada\", \"bruno\"]\n\
    [platform.models.m]\n\n[team.accounts.shop]\n\
    key_sha256 = \"2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824\"\nweight = 1\n";

/// The section that the operators race for.
const SECTION: &str = "team";

/// Replicas of the control group.
const REPLICAS: usize = 3;

/// Daemons that follow it.
const DAEMONS: usize = 5;

/// Interval of a daemon's polls.
const POLL_EVERY: Duration = Duration::from_secs(1);

/// A change must be in force everywhere within this.
const SPREAD_LIMIT: Duration = Duration::from_secs(6);

/// A daemon and what it holds.
struct Daemon {
    subscriber: Subscriber,
    /// Greatest index that was in force in any run of it.
    highest: ConfigIndex,
    next_poll: Time,
    /// It reaches no replica until then.
    cut_until: Time,
    /// Since when it has reached the leader.
    whole_since: Time,
}

/// An update on its way to a daemon.
struct Packet {
    due: Time,
    daemon: usize,
    run: u64,
    update: Update,
    confirmed: bool,
}

/// A control group, racing operators and daemons behind bad links.
pub struct ConfigurationWorld {
    now: Time,
    mutated: bool,
    /// Committed orders, in order; replicas have applied a part of them.
    log: Vec<ConfigCommand>,
    replicas: Vec<(ConfigStore, usize)>,
    /// The replica that leads; the others lag behind.
    leader: usize,
    daemons: Vec<Daemon>,
    /// Runs of the daemons: packets for an earlier run are lost.
    runs: Vec<u64>,
    wire: Vec<Packet>,
    /// First answers by change.
    answers: BTreeMap<u64, (ConfigCommand, ConfigReply)>,
    next_change: u64,
    /// Content of each index, by the first daemon that had it in force.
    contents: BTreeMap<ConfigIndex, ContentDigest>,
    /// Last index that was accepted, and when.
    accepted: (ConfigIndex, Time),
}

impl Trial for ConfigurationWorld {
    fn new(_: Promise, decisions: Decisions, _: &mut ChaCha8Rng) -> Self {
        let daemon = || Daemon {
            subscriber: Subscriber::default(),
            highest: ConfigIndex(0),
            next_poll: Time::ZERO,
            cut_until: Time::ZERO,
            whole_since: Time::ZERO,
        };
        let mut world = Self {
            now: Time::from_millis(1),
            mutated: decisions == Decisions::Mutated,
            log: Vec::new(),
            replicas: (0..REPLICAS).map(|_| (ConfigStore::default(), 0)).collect(),
            leader: 0,
            daemons: (0..DAEMONS).map(|_| daemon()).collect(),
            runs: vec![0; DAEMONS],
            wire: Vec::new(),
            answers: BTreeMap::new(),
            next_change: 0,
            contents: BTreeMap::new(),
            accepted: (ConfigIndex(0), Time::ZERO),
        };
        let found = world.order(
            "ledger-1",
            Origin::Process,
            Action::Bootstrap(DOCUMENT.into()),
        );
        let _ = world.commit(found);
        world
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.now = self.now + draw_ms(rng, 100);
        if chance(rng, 100) {
            self.operators(rng, score);
        }
        self.faults(rng, score);
        self.turn(rng, score);
    }

    fn settle(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        for daemon in &mut self.daemons {
            daemon.cut_until = Time::ZERO;
        }
        for _ in 0..SPREAD_LIMIT.as_millis() / 50 {
            self.now = self.now + Duration::from_millis(50);
            self.turn(rng, score);
        }
        let want = self.accepted.0;
        for daemon in &self.daemons {
            let has = daemon.subscriber.image().index;
            score.test(has == want, || {
                format!("{has} is in force on a daemon after healing, not {want}")
            });
        }
    }
}

impl ConfigurationWorld {
    /// Lets replicas apply, daemons poll and updates arrive.
    fn turn(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
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
            .wire
            .extract_if(.., |packet| packet.due <= now)
            .collect();
        for packet in due {
            self.receive(packet, score);
        }
        self.test_spread(score);
    }

    // -----------------------------------------------------------------------
    // Operators

    /// An order with a new id.
    fn order(&mut self, author: &str, origin: Origin, action: Action) -> ConfigCommand {
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

    /// Commits an order; the leader has applied everything before it.
    fn commit(&mut self, order: ConfigCommand) -> ConfigReply {
        self.log.push(order);
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

    /// Operators race from the same base, and send a change again.
    fn operators(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        if chance(rng, 300) && !self.answers.is_empty() {
            self.send_again(rng, score);
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
            let order = self.order(author, Origin::Operator, action);
            let number = self.next_change;
            let reply = self.commit(order.clone());
            accepted += u64::from(reply.is_ok());
            self.answers.insert(number, (order, reply));
        }
        score.test(accepted <= 1, || {
            "two changes from one base were accepted".into()
        });
    }

    /// An operator who lost an answer sends the change again.
    fn send_again(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        let slot = draw_slot(rng, self.answers.len());
        let Some((order, first)) = self.answers.values().nth(slot).cloned() else {
            return;
        };
        let before = self.accepted.0;
        let reply = self.commit(order);
        let same = reply == first && self.accepted.0 == before;
        score.test(same, || format!("a resend got {reply:?} after {first:?}"));
    }

    // -----------------------------------------------------------------------
    // Daemons

    /// A daemon polls some replica if it is time.
    fn poll(&mut self, slot: usize, rng: &mut ChaCha8Rng) {
        let daemon = &mut self.daemons[slot];
        if self.now < daemon.next_poll {
            return;
        }
        daemon.next_poll = self.now + POLL_EVERY;
        if self.now < daemon.cut_until {
            daemon.whole_since = daemon.cut_until;
            daemon.subscriber.record_no_answer("cut");
            return;
        }
        let poll = daemon.subscriber.poll();
        // Mostly the leader; now and then a replica that lags, or that leads no more.
        let asked = if chance(rng, 200) {
            draw_slot(rng, REPLICAS)
        } else {
            self.leader
        };
        let confirmed = asked == self.leader;
        let update = self.update(asked, poll);
        let late = if chance(rng, 50) {
            draw_ms(rng, 4_000)
        } else {
            draw_ms(rng, 40)
        };
        let run = self.runs[slot];
        self.wire.push(Packet {
            due: self.now + late,
            daemon: slot,
            run,
            update,
            confirmed,
        });
    }

    /// What a replica answers to a poll.
    fn update(&self, replica: usize, poll: Poll) -> Update {
        match self.replicas[replica].0.query(&ConfigQuery::Poll(poll)) {
            ConfigAnswer::Update(update) => update,
            _ => Update::Empty,
        }
    }

    /// A daemon takes an update.
    fn receive(&mut self, packet: Packet, score: &mut Score) {
        if packet.run != self.runs[packet.daemon] {
            return;
        }
        let daemon = &mut self.daemons[packet.daemon];
        if self.mutated {
            // Takes whatever comes for current, as if it had just started.
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
        score.test(index >= highest, || {
            format!("a daemon went from {highest} back to {index}")
        });
        daemon.highest = highest.max(index);
        let known = *self.contents.entry(index).or_insert(digest);
        score.test(known == digest, || {
            format!("index {index} has two contents")
        });
    }

    /// Daemons that were not cut off have what was accepted long enough ago.
    fn test_spread(&mut self, score: &mut Score) {
        let (index, since) = self.accepted;
        if self.now.since(since) < SPREAD_LIMIT {
            return;
        }
        for daemon in &self.daemons {
            if self.now.since(daemon.whole_since) < SPREAD_LIMIT || self.now < daemon.cut_until {
                continue;
            }
            let has = daemon.subscriber.image().index;
            score.test(has >= index, || {
                format!("{has} is in force after the limit, not {index}")
            });
        }
    }

    // -----------------------------------------------------------------------
    // Faults

    /// Cuts, restarts and a new leader, now and then together.
    fn faults(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        while chance(rng, 10) {
            score.fault();
            let slot = draw_slot(rng, DAEMONS);
            match draw(rng, 3) {
                0 => self.daemons[slot].cut_until = self.now + draw_ms(rng, 60_000),
                1 => self.restart(slot),
                _ => self.lead(rng),
            }
        }
    }

    /// A daemon starts afresh, with nothing.
    fn restart(&mut self, slot: usize) {
        self.runs[slot] += 1;
        self.daemons[slot].subscriber = Subscriber::default();
        self.daemons[slot].next_poll = self.now;
        self.daemons[slot].whole_since = self.now;
    }

    /// Another replica leads; it has all that was committed.
    fn lead(&mut self, rng: &mut ChaCha8Rng) {
        self.leader = draw_slot(rng, REPLICAS);
        let (store, applied) = &mut self.replicas[self.leader];
        while *applied < self.log.len() {
            let _ = apply_next(&self.log, store, applied);
        }
    }
}

/// Applies the next committed order to a replica.
fn apply_next(log: &[ConfigCommand], store: &mut ConfigStore, applied: &mut usize) -> ConfigReply {
    let order = log[*applied].clone();
    *applied += 1;
    store.apply(LogIndex(*applied as u64), Epoch(1), order)
}
