//! Turns of programs: the reservation of their tokens, and their history.

use {
    super::Call,
    crate::gateway::{
        front::{
            history::{History, OutgoingBody},
            owned_turn::OwnedTurn,
            refusal::{Refusal, Refused},
            reservation::Reservation,
            stream::PendingTurn,
        },
        http_server::Body,
        request_body::RequestBody,
        store::{ReserveOutcome, StoredChain, TurnLookup},
    },
    http::Response,
    quay_policy::{NewProgram, TurnOwner},
    quay_routes::{Dialect, TurnHead},
    quay_turns::{Charge, ChargeStatus},
    quay_types::{ProgramTag, Tokens, TurnId},
    tokio::time::timeout,
};

impl<D: Dialect> Call<'_, D> {
    /// Runs a turn of a program: reserves its tokens from the program's budget
    /// and puts the conversation before the turn's input.
    pub(super) async fn run_turn(
        &self,
        turn: &TurnHead,
        input: RequestBody,
    ) -> Result<Response<Body>, Refused> {
        let (reserved, prior) = tokio::join!(self.reserve(turn), self.prior_turn(turn));
        let reservation = reserved?;
        let prior = prior?;
        let Some(retention) = self.route.retention else {
            return self.run(input.into(), None, reservation).await;
        };
        let history = prior.as_ref().map(|prior| prior.history.clone());
        let body = OutgoingBody {
            history: history.unwrap_or_default(),
            input: input.clone(),
        };
        let name = &*self.head.id;
        let owner = prior.as_ref().map(|prior| prior.owner);
        let owner = self.turn_caller.owner_of_next(name, owner);
        let turn = owner.turn_id(name);
        let pending_turn = PendingTurn {
            id: turn,
            owner_record: owner
                .record_id(name)
                .map(|id| (id, OwnedTurn { turn, owner })),
            placement: self.ids.placement(),
            prior: prior.map(|prior| prior.id),
            retention,
            history: body.history.whole().cloned(),
            input,
        };
        self.run(body, Some(pending_turn), reservation).await
    }

    /// Reserves the maximum tokens of the turn from the program's budget.
    async fn reserve(&self, turn: &TurnHead) -> Result<Option<Reservation>, Refusal> {
        let (Some(budget), Some(programs)) = (turn.budget, self.ids.budgets()) else {
            self.begins.set(turn.prior.is_none());
            return Ok(None);
        };
        let attempt = self.ids.attempt();
        let own = Charge {
            attempt,
            standing: ChargeStatus::Reserved,
            tokens: Tokens(turn.max_tokens),
        };
        let stores = self.front.stores();
        // Created before the reservation is written, so that dropping it
        // settles the reservation on every way out.
        let reserved = own.tokens;
        let budgeted = (self.ids.placement(), programs);
        let reservation = Reservation::new(stores.clone(), budgeted, attempt, reserved);
        let left = self.deadline.remaining(self.front.now());
        match stores.reserve(budgeted, own, Tokens(budget), left).await {
            ReserveOutcome::Covered { others } => {
                let begins = others.0 == 0 && turn.prior.is_none() && self.version.is_none();
                self.begins.set(begins);
                if begins {
                    self.admit_program(programs.own)?;
                }
                Ok(Some(reservation))
            }
            ReserveOutcome::Spent { others } => {
                log::info!(
                    "event=budget_spent id={} others={others} most={} budget={budget}",
                    self.head.id,
                    turn.max_tokens
                );
                Err(Refusal::BudgetSpent)
            }
            ReserveOutcome::Undetermined => Err(Refusal::StoresUnsure),
        }
    }

    /// Refuses a new program if the service is overloaded.
    fn admit_program(&self, program: ProgramTag) -> Result<(), Refusal> {
        let new = NewProgram {
            objective: self.route.objective,
            most_urgent: self.most_urgent,
            draw: program.0,
        };
        let now = self.front.now();
        let refused = self
            .front
            .upstreams()
            .refuse_program(now, self.service, &new);
        let Some(wait) = refused else {
            return Ok(());
        };
        log::info!(
            "event=program_refused id={} program={program} expected_wait_ms={} objective_ms={} priority={}",
            self.head.id,
            wait.as_millis(),
            self.route.objective.as_millis(),
            self.caller.priority(self.route),
        );
        Err(Refusal::Overloaded)
    }

    /// Finds the turn that the request goes on from, with its conversation, in the cache or
    /// the stores: among the caller's own turns, or by the record of its owner.
    async fn prior_turn(&self, turn: &TurnHead) -> Result<Option<PriorTurn>, Refusal> {
        let (Some(name), Some(_)) = (&turn.prior, self.route.retention) else {
            return Ok(None);
        };
        for (id, owner) in self.turn_caller.own_turns(name) {
            if let Some(history) = self.find_history(id).await? {
                return Ok(Some(PriorTurn { id, owner, history }));
            }
        }
        let found = match self.find_owner(name).await? {
            Some(OwnedTurn { turn: id, owner }) if self.turn_caller.may_continue(name, &owner) => {
                let history = self.find_history(id).await?;
                log::info!(
                    "event=turn_of_former_account id={} prior={name}",
                    self.head.id
                );
                history.map(|history| PriorTurn { id, owner, history })
            }
            Some(_) => {
                log::info!(
                    "event=turn_of_another_account id={} prior={name}",
                    self.head.id
                );
                None
            }
            None => None,
        };
        found.map(Some).ok_or_else(|| {
            log::info!("event=turn_absent id={} prior={name}", self.head.id);
            Refusal::NoTurn
        })
    }

    /// Returns the conversation up to a turn, from the cache or the stores; `None` if there
    /// is no such turn.
    async fn find_history(&self, id: TurnId) -> Result<Option<History>, Refusal> {
        let placement = self.ids.placement();
        if let Some(history) = self.front.cached_conversation(placement, id) {
            return Ok(Some(History::Whole(history)));
        }
        let Some(chain) = self.stored_chain(id).await? else {
            return Ok(None);
        };
        let left = self.deadline.remaining(self.front.now());
        let opened = self.front.open_history(placement, id, chain, self.holder);
        match timeout(left, opened).await {
            Ok(history) => history.map(Some),
            Err(_) => Err(Refusal::StoresUnsure),
        }
    }

    /// Finds the record of a turn's owner, with the account that holds the owner's key now.
    async fn find_owner(&self, name: &str) -> Result<Option<OwnedTurn>, Refusal> {
        let Some(record) = self.turn_caller.owner_record(name) else {
            return Ok(None);
        };
        let chain = self.stored_chain(record).await?;
        let owned = chain.and_then(|chain| OwnedTurn::read(chain.turns()?.last()?));
        Ok(owned.map(|it| OwnedTurn {
            owner: it
                .owner
                .with_holder(|mark| self.front.holder_of(name, mark)),
            ..it
        }))
    }

    /// Finds a turn and its predecessors on the stores; `None` if there is no such turn.
    async fn stored_chain(&self, id: TurnId) -> Result<Option<StoredChain>, Refusal> {
        let left = self.deadline.remaining(self.front.now());
        let placement = self.ids.placement();
        match self.front.stores().lookup_turns(placement, id, left).await {
            TurnLookup::Found(chain) => Ok(Some(chain)),
            TurnLookup::Absent => Ok(None),
            TurnLookup::Undetermined => Err(Refusal::StoresUnsure),
        }
    }
}

/// Turn that a request goes on from.
struct PriorTurn {
    id: TurnId,
    owner: TurnOwner,
    /// The conversation up to its end.
    history: History,
}
