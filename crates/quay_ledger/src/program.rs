//! Record of a program, without its history.

use {
    crate::Budget,
    quay_types::{
        AccountId, CallNumber, ContentDigest, NewProgram, Permit, PermitId, ProgramLimits,
        RequestKey, Tokens,
    },
    serde::{Deserialize, Serialize},
};

/// Maximum number of lost attempts of a program at a time.
const MAX_LOST: usize = 64;

/// Open call of a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenCall {
    /// Identity of the call across resends.
    pub key: RequestKey,
    /// Digest of the call's content.
    pub digest: ContentDigest,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Number of permits issued for the call.
    pub attempts: u32,
    /// Time at which the last permit was issued, in milliseconds since the Unix
    /// epoch.
    pub issued_ms: u64,
    /// Permit in use; `None` if the last permit was refused or its attempt was
    /// lost.
    pub active_permit: Option<Permit>,
    /// Whether the caller was told that the call ended without a complete
    /// answer. The call may be sent again, and no later call waits for it.
    pub given_up: bool,
}

/// Attempt that may still be running on its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostAttempt {
    /// Permit of the attempt.
    pub permit: PermitId,
    /// Number of the call.
    pub number: CallNumber,
    /// Tokens that stay reserved for the attempt.
    pub reserved: Tokens,
}

/// Record of a program.
///
/// For closed calls, the record holds only 8 bytes of the key; everything else
/// is in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// Account that owns the program.
    pub account: AccountId,
    /// Key of the request that created the program.
    pub key: RequestKey,
    /// Limits as requested.
    pub limits: ProgramLimits,
    /// Token budget.
    pub budget: Budget,
    /// Time at which the program expires, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Time at which the program ended, in milliseconds since the Unix epoch;
    /// `None` while it is open.
    pub ended_ms: Option<u64>,
    /// Branch number of the parent; `None` for a root.
    pub parent: Option<u32>,
    /// Number of levels below the root.
    pub depth: u8,
    /// Whether the program's budget is still reserved in its parent's budget.
    pub grant_open: bool,
    /// Whether the program was created by a standalone call and ends with it.
    pub implicit: bool,
    /// Number of sub-agents ever created in the tree; counted in the root only.
    pub sub_agents: u32,
    /// Fingerprints of the keys of all calls, in order.
    pub calls: Vec<u64>,
    /// Open call, if any; always the last call.
    pub open: Option<Box<OpenCall>>,
    /// Lost attempts, which may still be running.
    pub lost: Vec<LostAttempt>,
    /// Earliest time at which a later call may start, in milliseconds since the
    /// Unix epoch. Until then a call with an unknown outcome may still start.
    pub next_start_ms: u64,
}

/// First eight bytes of a key.
pub const fn fingerprint(key: RequestKey) -> u64 {
    #[allow(clippy::cast_possible_truncation)] // Only the upper half is needed.
    let upper = (key.0 >> 64) as u64;
    upper
}

impl Program {
    /// Creates a program without calls.
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

    /// Whether `new` has the key and limits with which this program was created.
    #[must_use]
    pub fn matches_request(&self, new: &NewProgram) -> bool {
        self.key == new.key && self.limits == new.limits
    }

    /// Number of the last call; 0 if the program has no calls.
    #[must_use]
    pub fn last_call(&self) -> CallNumber {
        CallNumber(u32::try_from(self.calls.len()).unwrap_or(u32::MAX))
    }

    /// Numbers of the calls whose key fingerprint matches `key`, latest first.
    pub fn candidates(&self, key: RequestKey) -> impl Iterator<Item = CallNumber> + '_ {
        let wanted = fingerprint(key);
        let slots = (0..self.calls.len()).rev();
        slots
            .filter(move |slot| self.calls[*slot] == wanted)
            .map(|slot| CallNumber(u32::try_from(slot + 1).unwrap_or(u32::MAX)))
    }

    /// Moves the attempt of the active permit, if any, to the lost attempts.
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

    /// Whether one more attempt may be lost without exceeding the limit.
    #[must_use]
    pub fn can_lose_attempt(&self) -> bool {
        self.lost.len() < MAX_LOST
    }

    /// Asserts the invariants of a single program. `granted` is the number of
    /// tokens of its budget that its sub-agents hold.
    pub fn assert_invariants(&self, granted: u64) {
        let active = self
            .open
            .iter()
            .filter_map(|call| call.active_permit)
            .count();
        assert!(active <= 1, "a program has at most one active permit");
        if let Some(call) = &self.open {
            assert_eq!(
                self.calls.last().copied(),
                Some(fingerprint(call.key)),
                "the open call is the last call"
            );
            let lost = self.lost.iter().any(|lost| lost.number == self.last_call());
            assert!(
                call.idempotent || !lost,
                "a call that may not run twice has a second permit after a lost attempt"
            );
        }
        let open = self.open.iter().filter_map(|call| call.active_permit);
        let attempts: u64 = open.map(|permit| permit.reserved.0).sum();
        let lost: u64 = self.lost.iter().map(|lost| lost.reserved.0).sum();
        assert_eq!(
            self.budget.reserved().0,
            attempts + lost + granted,
            "reserved tokens add up to those of open and lost attempts and grants"
        );
        assert!(
            self.calls.len() <= self.limits.turns as usize,
            "more calls than the turn limit"
        );
    }
}
