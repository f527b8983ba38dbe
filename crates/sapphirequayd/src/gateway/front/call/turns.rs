//! Turns of programs: the reservation of their tokens, and their history.

use {
    super::Call,
    crate::gateway::{
        front::{
            refusal::{Refusal, Refused},
            reservation::Reservation,
            stream::PendingTurn,
        },
        http_server::Body,
        request_body::RequestBody,
        store::{ReserveOutcome, TurnLookup},
    },
    bytes::Bytes,
    http::Response,
    quay_policy::NewProgram,
    quay_routes::{Dialect, TurnHead},
    quay_turns::{Charge, ChargeStatus},
    quay_types::{ProgramTag, Tokens},
};

impl<D: Dialect> Call<'_, D> {
    /// Runs a turn of a program: reserves its tokens from the program's budget
    /// and puts the conversation before the turn's input.
    pub(super) async fn run_turn(
        &self,
        turn: &TurnHead,
        input: RequestBody,
    ) -> Result<Response<Body>, Refused> {
        let (reserved, history) = tokio::join!(self.reserve(turn), self.history(turn));
        let reservation = reserved?;
        let history = history?;
        let Some(retention) = self.route.retention else {
            return self.run(input, None, reservation).await;
        };
        let mut body = RequestBody::from(history.clone());
        body.append(input.clone());
        let pending_turn = PendingTurn {
            id: self.ids.turn(),
            program: self.ids.program(),
            prior: turn
                .prior
                .as_deref()
                .map(|prior| self.ids.turn_named(prior)),
            retention,
            history,
            input,
        };
        self.run(body, Some(pending_turn), reservation).await
    }

    /// Reserves the maximum tokens of the turn from the program's budget.
    async fn reserve(&self, turn: &TurnHead) -> Result<Option<Reservation>, Refusal> {
        let (Some(budget), Some(program)) = (turn.budget, self.ids.budget()) else {
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
        let reservation = Reservation::new(stores.clone(), program, attempt, reserved);
        let left = self.deadline.remaining(self.front.now());
        match stores.reserve(program, own, Tokens(budget), left).await {
            ReserveOutcome::Covered { others } => {
                let begins = others.0 == 0 && turn.prior.is_none() && self.version.is_none();
                self.begins.set(begins);
                if begins {
                    self.admit_program(program)?;
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

    /// Returns the conversation before the turn, from the cache or the stores.
    async fn history(&self, turn: &TurnHead) -> Result<Bytes, Refusal> {
        let (Some(prior), Some(_)) = (&turn.prior, self.route.retention) else {
            return Ok(Bytes::new());
        };
        let (program, id) = (self.ids.program(), self.ids.turn_named(prior));
        if let Some(history) = self.front.cached_conversation(program, id) {
            return Ok(history);
        }
        let left = self.deadline.remaining(self.front.now());
        match self.front.stores().lookup_turns(program, id, left).await {
            TurnLookup::Found(turns) => self.front.join_history(program, id, &turns, self.holder),
            TurnLookup::Absent => {
                log::info!("event=turn_absent id={} prior={prior}", self.head.id);
                Err(Refusal::NoTurn)
            }
            TurnLookup::Undetermined => Err(Refusal::StoresUnsure),
        }
    }
}
