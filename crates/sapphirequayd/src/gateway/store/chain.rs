//! Conversations on the stores: a turn and its predecessors, found by their ids and sizes and
//! read in pages. So neither a reply nor what a front holds grows with the conversation.

use {
    super::{
        client::{Backoff, StoreClient, encode, target},
        group_request::GroupRequest,
    },
    crate::gateway::messages::{StoreOp, StoreReply},
    indexmap::IndexMap,
    quay_turns::{
        ChainLink, ChainPart, LookupTally, LookupVerdict, Record, StoreMember, StoreView,
        TurnRecord,
    },
    quay_types::{GroupId, ProgramTag, TurnId},
    std::{collections::HashSet, rc::Rc, time::Duration},
    tokio::{sync::mpsc, task::spawn_local, time::timeout},
};

/// Result of looking up a turn and its predecessors.
#[derive(Debug)]
pub enum TurnLookup {
    /// The turn and all its predecessors.
    Found(StoredChain),
    /// No store holds the turn.
    Absent,
    /// Too few stores answered to decide.
    Undetermined,
}

/// A turn and all its predecessors on the stores of a group.
#[derive(Debug, Clone)]
pub struct StoredChain {
    group: GroupId,
    program: ProgramTag,
    /// All turns, oldest first.
    links: Rc<[ChainLink]>,
    /// The first of them, as far as the lookup brought them.
    page: Vec<TurnRecord>,
}

impl StoredChain {
    /// Bytes of the conversation.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.links.iter().map(|link| link.bytes).sum()
    }

    /// Bytes of the largest turn.
    #[must_use]
    pub fn largest_turn(&self) -> u64 {
        let sizes = self.links.iter().map(|link| link.bytes);
        sizes.max().unwrap_or_default()
    }

    /// All turns, oldest first, if the lookup brought them.
    #[must_use]
    pub fn turns(&self) -> Option<&[TurnRecord]> {
        (self.page.len() == self.links.len()).then_some(&self.page)
    }

    /// Reads the turns in pages, oldest first.
    #[must_use]
    pub fn read(&self, client: &StoreClient) -> ChainReader {
        ChainReader {
            client: client.clone(),
            group: self.group,
            program: self.program,
            links: Rc::clone(&self.links),
            read: 0,
            page: self.page.clone(),
        }
    }
}

/// Reads the turns of a [`StoredChain`] in pages.
#[derive(Debug)]
pub struct ChainReader {
    client: StoreClient,
    group: GroupId,
    program: ProgramTag,
    links: Rc<[ChainLink]>,
    /// Number of turns that were returned.
    read: usize,
    /// Page that was read already.
    page: Vec<TurnRecord>,
}

impl ChainReader {
    /// Returns the next turns, at least one unless all were read. Asks one member of the
    /// group after the other for as long as it takes.
    pub async fn next(&mut self) -> Vec<TurnRecord> {
        let mut page = std::mem::take(&mut self.page);
        let wanted = &self.links[self.read..];
        if page.is_empty() && !wanted.is_empty() {
            let wanted: Vec<TurnId> = wanted.iter().map(|link| link.id).collect();
            page = self.fetch(wanted).await;
        }
        self.read += page.len();
        page
    }

    async fn fetch(&self, wanted: Vec<TurnId>) -> Vec<TurnRecord> {
        let op = encode(&StoreOp::FetchSome(wanted.clone()));
        let mut backoff = Backoff::default();
        loop {
            let view = self.client.view(self.group);
            for at in self.client.member_order(&view, self.program) {
                let member = &view.members[at];
                let target = target(self.group, &view, member);
                let Some(op) = op.clone() else { continue };
                let reply = self.client.ask_store(member.addr, target, op).await;
                let Ok(StoreReply::Turns(turns)) = reply else {
                    self.client.record_slow(&[member.identity]);
                    continue;
                };
                let page = in_order(turns, &wanted);
                if !page.is_empty() {
                    return page;
                }
            }
            log::info!(
                "event=turns_unread group={} turns={}",
                self.group,
                wanted.len()
            );
            backoff.wait().await;
        }
    }
}

/// The turns of `wanted`, from the first one on, as far as `turns` has them.
fn in_order(turns: Vec<TurnRecord>, wanted: &[TurnId]) -> Vec<TurnRecord> {
    let turns = turns.into_iter().map(|turn| (turn.id, turn));
    let mut turns: IndexMap<TurnId, TurnRecord> = turns.collect();
    let ordered = wanted.iter().map_while(|id| turns.swap_remove(id));
    ordered.collect()
}

impl StoreClient {
    /// Looks up a turn that a program continues from, and all its predecessors,
    /// with retries within `limit`.
    pub async fn lookup_turns(
        &self,
        program: ProgramTag,
        last: TurnId,
        limit: Duration,
    ) -> TurnLookup {
        let attempts = async {
            let mut backoff = Backoff::default();
            loop {
                match self.turns_once(program, last).await {
                    TurnLookup::Undetermined => backoff.wait().await,
                    found => return found,
                }
            }
        };
        timeout(limit, attempts)
            .await
            .unwrap_or(TurnLookup::Undetermined)
    }

    /// Looks a turn up in the group of the program, and in the other groups if
    /// it is absent there: a program may continue from a turn of another one.
    async fn turns_once(&self, program: ProgramTag, last: TurnId) -> TurnLookup {
        let own = self.group_of(program);
        let found = self.turns_in_group((own, program), last).await;
        if !matches!(found, TurnLookup::Absent) {
            return found;
        }
        let (tx, mut rx) = mpsc::unbounded_channel();
        for (group, _) in self.map().iter().filter(|(group, _)| *group != own) {
            let (client, tx) = (self.clone(), tx.clone());
            spawn_local(async move {
                let _ = tx.send(client.turns_in_group((group, program), last).await);
            });
        }
        drop(tx);
        let mut outcome = TurnLookup::Absent;
        while let Some(found) = rx.recv().await {
            match found {
                TurnLookup::Found(chain) => return self.adopt_turns(program, chain).await,
                TurnLookup::Absent => {}
                TurnLookup::Undetermined => outcome = TurnLookup::Undetermined,
            }
        }
        outcome
    }

    /// Copies turns of another group to the program's own, which from now on
    /// keeps them as long as the turns that continue from them.
    async fn adopt_turns(&self, program: ProgramTag, chain: StoredChain) -> TurnLookup {
        let group = self.group_of(program);
        log::info!(
            "event=turns_adopted group={group} turns={} bytes={}",
            chain.links.len(),
            chain.bytes()
        );
        let mut reader = chain.read(self);
        loop {
            let page = reader.next().await;
            if page.is_empty() {
                return TurnLookup::Found(StoredChain { group, ..chain });
            }
            let records = page.into_iter().map(Record::Turn);
            let op = encode(&StoreOp::Write(records.collect()));
            let written = match op {
                Some(op) => self.write_once(program, &op).await,
                None => false,
            };
            if !written {
                return TurnLookup::Undetermined;
            }
        }
    }

    async fn turns_in_group(
        &self,
        (group, program): (GroupId, ProgramTag),
        last: TurnId,
    ) -> TurnLookup {
        let view = self.view(group);
        let mut listed = ListedChain::default();
        loop {
            let missing = match listed.complete(last) {
                Ok(links) => return TurnLookup::Found(listed.chain((group, program), links)),
                Err(Some(missing)) => missing,
                Err(None) => {
                    log::error!("event=turns_in_a_circle group={group} turn={last}");
                    return TurnLookup::Undetermined;
                }
            };
            if let Some(likely) = self.likely_holder(&view, program) {
                self.list_at((group, &view, likely), missing, &mut listed)
                    .await;
            }
            if listed.holds(missing) {
                continue;
            }
            let mut tally = LookupTally::new(&view);
            let Some(op) = encode(&StoreOp::ListChain(missing)) else {
                return TurnLookup::Undetermined;
            };
            let mut replies = GroupRequest::with_all(self, (group, program), &view, op);
            while !listed.holds(missing) && tally.verdict() == LookupVerdict::Pending {
                match replies.next().await {
                    Some((identity, Some(StoreReply::ChainPart(part, turns)))) => {
                        if part.links.is_empty() {
                            tally.not_found(identity);
                        }
                        listed.add(&part, turns);
                    }
                    Some((identity, _)) => tally.failed(identity),
                    None => return TurnLookup::Undetermined,
                }
            }
            if listed.holds(missing) {
                continue;
            }
            // A turn that another one continues from has existed.
            if missing != last {
                log::warn!("event=turn_missing group={group} turn={missing:?}");
                return TurnLookup::Undetermined;
            }
            return match tally.verdict() {
                LookupVerdict::Absent => TurnLookup::Absent,
                _ => TurnLookup::Undetermined,
            };
        }
    }

    /// Lists a turn and its predecessors as far as one member holds them.
    async fn list_at(
        &self,
        (group, view, member): (GroupId, &StoreView, &StoreMember),
        turn: TurnId,
        listed: &mut ListedChain,
    ) {
        let Some(op) = encode(&StoreOp::ListChain(turn)) else {
            return;
        };
        let target = target(group, view, member);
        if let Ok(StoreReply::ChainPart(part, turns)) =
            self.ask_store(member.addr, target, op).await
        {
            listed.add(&part, turns);
        }
    }
}

/// What the members of a group told of a chain.
#[derive(Debug, Default)]
struct ListedChain {
    /// Sizes of turns, with the turns before them.
    links: IndexMap<TurnId, (u64, Option<TurnId>)>,
    turns: IndexMap<TurnId, TurnRecord>,
}

impl ListedChain {
    fn holds(&self, turn: TurnId) -> bool {
        self.links.contains_key(&turn)
    }

    fn add(&mut self, part: &ChainPart, turns: Vec<TurnRecord>) {
        let later = part.links.iter().skip(1).map(|link| Some(link.id));
        let priors = later.chain([part.next]);
        let links = part.links.iter().zip(priors);
        self.links
            .extend(links.map(|(link, prior)| (link.id, (link.bytes, prior))));
        self.turns
            .extend(turns.into_iter().map(|turn| (turn.id, turn)));
    }

    /// The whole chain that ends with `last`, oldest first.
    ///
    /// # Errors
    ///
    /// The first turn that is not listed; `None` if the chain has no beginning.
    fn complete(&self, last: TurnId) -> Result<Vec<ChainLink>, Option<TurnId>> {
        let mut links = Vec::new();
        let mut seen = HashSet::new();
        let mut next = Some(last);
        while let Some(id) = next {
            let (bytes, prior) = *self.links.get(&id).ok_or(Some(id))?;
            if !seen.insert(id) {
                return Err(None);
            }
            links.push(ChainLink { id, bytes });
            next = prior;
        }
        links.reverse();
        Ok(links)
    }

    fn chain(
        mut self,
        (group, program): (GroupId, ProgramTag),
        links: Vec<ChainLink>,
    ) -> StoredChain {
        let first = links.iter().map_while(|it| self.turns.swap_remove(&it.id));
        let page = first.collect();
        StoredChain {
            group,
            program,
            links: links.into(),
            page,
        }
    }
}
