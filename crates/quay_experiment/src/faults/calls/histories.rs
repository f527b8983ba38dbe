//! Final check of the program histories.

use {
    crate::faults::{
        Promise, Score,
        calls::{
            ground_truth::CallerResult,
            world::{CallWorld, account},
        },
    },
    indexmap::IndexMap,
    quay_ledger::{Answer, Query},
    quay_quorum::StateMachine as _,
    quay_types::{CallNumber, Outcome, ProgramId},
};

impl CallWorld {
    /// Checks that every answer that a caller received is in the history of its
    /// program, and that the history holds no prompt of another program.
    pub(super) fn check_histories(&mut self, score: &mut Score) {
        let mut by_program: IndexMap<ProgramId, Vec<usize>> = IndexMap::new();
        for (slot, call) in self.calls.iter().enumerate() {
            by_program.entry(call.program).or_default().push(slot);
        }
        for (program, slots) in by_program {
            let shown = self.ledger.query(&Query::Show(program, account()));
            let Answer::Program(status) = shown else {
                continue;
            };
            for record in &status.calls {
                let prompt = <[u8; 8]>::try_from(&*record.prompt).map(usize::from_le_bytes);
                let own = prompt.is_ok_and(|slot| slots.contains(&slot));
                self.check(Promise::History, score, own, || {
                    format!("{program} holds a prompt of another program")
                });
            }
            for slot in slots {
                let CallerResult::Complete(answer) = &self.calls[slot].told else {
                    continue;
                };
                let number = CallNumber(self.calls[slot].number);
                let record = status.calls.iter().find(|record| record.number == number);
                let kept = record.and_then(|record| record.outcome.as_ref());
                let held =
                    matches!(kept, Some(Outcome::Completed { answer: kept, .. }) if kept == answer);
                self.check(Promise::History, score, held, || {
                    format!("{program} lost the answer of call {number}")
                });
            }
        }
    }
}
