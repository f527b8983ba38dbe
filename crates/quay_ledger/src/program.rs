//! Record of one program, without its history.

use {
    crate::Budget,
    quay_types::{
        AccountId, CallNumber, ContentDigest, NewProgram, Permit, PermitId, ProgramLimits,
        RequestKey, Tokens,
    },
    serde::{Deserialize, Serialize},
};

/// Lost attempts that a program may have at a time.
const MAX_LOST: usize = 64;

/// The open call of a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenCall {
    /// Identity of the call across resends.
    pub key: RequestKey,
    /// Digest of its content.
    pub digest: ContentDigest,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Permits that were issued for it.
    pub attempts: u32,
    /// Time of the last permit, in milliseconds.
    pub issued_ms: u64,
    /// The permit in use; `None` if the last one was refused or lost.
    pub active_permit: Option<Permit>,
    /// Whether its caller was told that it ended without a whole answer. It
    /// may be sent again, and no later call waits for it.
    pub given_up: bool,
}

/// An attempt of which nobody knows whether its upstream has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostAttempt {
    /// Its permit.
    pub permit: PermitId,
    /// Its call.
    pub number: CallNumber,
    /// Tokens that stay set aside for it.
    pub reserved: Tokens,
}

/// Record of one program.
///
/// Closed calls are known here by 8 bytes of their key; the rest of them is in
/// the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// Account that owns it.
    pub account: AccountId,
    /// Key of the request that created it.
    pub key: RequestKey,
    /// Limits as they were asked for.
    pub limits: ProgramLimits,
    /// Tokens.
    pub budget: Budget,
    /// Time at which it ends at the latest, in milliseconds.
    pub expires_ms: u64,
    /// Time at which it has ended, in milliseconds.
    pub ended_ms: Option<u64>,
    /// Number of the parent's branch; `None` for a root.
    pub parent: Option<u32>,
    /// Levels below the root.
    pub depth: u8,
    /// Whether the budget is still carved from the parent's.
    pub grant_open: bool,
    /// Whether it was created by its only call and ends with it.
    pub implicit: bool,
    /// Sub-agents that were created; counted in the root only.
    pub sub_agents: u32,
    /// Fingerprints of the keys of all calls, in order.
    pub calls: Vec<u64>,
    /// The open call, which is the last one.
    pub open: Option<Box<OpenCall>>,
    /// Attempts that may still run.
    pub lost: Vec<LostAttempt>,
    /// No later call starts before, in milliseconds: until then a call whose
    /// outcome is unknown may still start.
    pub next_start_ms: u64,
}

/// First eight bytes of a key.
pub const fn fingerprint(key: RequestKey) -> u64 {
    #[allow(clippy::cast_possible_truncation)] // The upper half is what is wanted.
    let upper = (key.0 >> 64) as u64;
    upper
}

impl Program {
    /// A program without calls.
    #[must_use]
    pub fn new(new: &NewProgram, now_ms: u64, parent: Option<u32>, depth: u8) -> Self {
        let lifetime_ms = u64::from(new.limits.lifetime_s) * 1_000;
        Self {
            account: new.account,
            key: new.key,
            limits: new.limits,
            budget: Budget::new(new.limits.budget),
            expires_ms: now_ms.saturating_add(lifetime_ms),
            ended_ms: None,
            parent,
            depth,
            grant_open: parent.is_some(),
            implicit: false,
            sub_agents: 0,
            calls: Vec::new(),
            open: None,
            lost: Vec::new(),
            next_start_ms: 0,
        }
    }

    /// Whether `new` asks for what this program already is.
    #[must_use]
    pub fn matches_request(&self, new: &NewProgram) -> bool {
        self.key == new.key && self.limits == new.limits
    }

    /// Number of the last call; 0 if there is none.
    #[must_use]
    pub fn last_call(&self) -> CallNumber {
        CallNumber(u32::try_from(self.calls.len()).unwrap_or(u32::MAX))
    }

    /// Numbers of calls whose keys may be `key`, the latest first.
    pub fn candidates(&self, key: RequestKey) -> impl Iterator<Item = CallNumber> + '_ {
        let wanted = fingerprint(key);
        let slots = (0..self.calls.len()).rev();
        slots
            .filter(move |slot| self.calls[*slot] == wanted)
            .map(|slot| CallNumber(u32::try_from(slot + 1).unwrap_or(u32::MAX)))
    }

    /// Moves the permit in use, if any, to those that may still run.
    pub fn mark_active_lost(&mut self) {
        let number = self.last_call();
        let Some(permit) = self
            .open
            .as_mut()
            .and_then(|open| open.active_permit.take())
        else {
            return;
        };
        self.lost.push(LostAttempt {
            permit: permit.id,
            number,
            reserved: permit.reserved,
        });
    }

    /// Whether an attempt of the open call may have run.
    #[must_use]
    pub fn open_may_have_run(&self) -> bool {
        let active = self
            .open
            .as_ref()
            .is_some_and(|open| open.active_permit.is_some());
        active || self.lost.iter().any(|lost| lost.number == self.last_call())
    }

    /// Whether another attempt may be lost without going over the bound.
    #[must_use]
    pub fn can_lose_attempt(&self) -> bool {
        self.lost.len() < MAX_LOST
    }

    /// Asserts what holds for one program by itself; `granted` is what its
    /// sub-agents hold of its budget.
    pub fn assert_invariants(&self, granted: u64) {
        let active = self
            .open
            .iter()
            .filter_map(|call| call.active_permit)
            .count();
        assert!(active <= 1, "one permit in use a program");
        if let Some(call) = &self.open {
            assert_eq!(
                self.calls.last().copied(),
                Some(fingerprint(call.key)),
                "the open call is the last one"
            );
            let lost = self.lost.iter().any(|lost| lost.number == self.last_call());
            assert!(
                call.idempotent || !lost,
                "a call that may not run twice has one permit that isn't refused"
            );
        }
        let open = self.open.iter().filter_map(|call| call.active_permit);
        let attempts: u64 = open.map(|permit| permit.reserved.0).sum();
        let lost: u64 = self.lost.iter().map(|lost| lost.reserved.0).sum();
        assert_eq!(
            self.budget.reserved().0,
            attempts + lost + granted,
            "reservations add up"
        );
        assert!(self.calls.len() <= self.limits.turns as usize, "turn limit");
    }
}
