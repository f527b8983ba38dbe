//! Identifiers of the state that a request refers to.

use {
    crate::CallHead,
    http::{Method, Uri},
    quay_types::{
        AccountId, AttemptTag, ContentDigest, ProgramTag, RequestContent, ScopedId, TurnId,
    },
};

/// Derives the identifiers of a request's state from its head and its account.
///
/// All names that callers choose are the account's own: two accounts that use the
/// same name refer to two objects. Without an account identifiers are derived from
/// the names alone, as in deployments without accounts.
#[derive(Debug, Clone, Copy)]
pub struct CallIds<'a> {
    head: &'a CallHead,
    account: Option<AccountId>,
}

impl<'a> CallIds<'a> {
    /// Identifiers of a request of an account, if it has one.
    #[must_use]
    pub const fn new(head: &'a CallHead, account: Option<AccountId>) -> Self {
        Self { head, account }
    }

    /// Head of the request.
    #[must_use]
    pub const fn head(&self) -> &'a CallHead {
        self.head
    }

    /// Program that the request belongs to; see [`CallHead::program_name`].
    #[must_use]
    pub fn program(&self) -> ProgramTag {
        ProgramTag::owned(self.account, self.head.program_name())
    }

    /// Program by its name alone, which places its records and its requests: they stay
    /// where they are if the caller's account changes.
    #[must_use]
    pub fn placement(&self) -> ProgramTag {
        ProgramTag::of(self.head.program_name())
    }

    /// Programs that the request is charged to and whose charges count, if it names one.
    #[must_use]
    pub fn budgets(&self) -> Option<ScopedId<ProgramTag>> {
        let program = self.head.program.as_deref()?;
        Some(ProgramTag::scoped(self.account, program))
    }

    /// Program whose budget the request is charged to, if it names one.
    #[must_use]
    pub fn budget(&self) -> Option<ProgramTag> {
        let program = self.head.program.as_deref()?;
        Some(ProgramTag::owned(self.account, program))
    }

    /// Attempt that the request is.
    #[must_use]
    pub fn attempt(&self) -> AttemptTag {
        self.attempt_named(&self.head.id)
    }

    /// Another attempt of the account.
    #[must_use]
    pub fn attempt_named(&self, id: &str) -> AttemptTag {
        AttemptTag::owned(self.account, id)
    }

    /// Ids under which the origins of the streams of an attempt are recorded.
    #[must_use]
    pub fn attempts_named(&self, id: &str) -> ScopedId<AttemptTag> {
        AttemptTag::scoped(self.account, id)
    }

    /// Turn that the request stores.
    #[must_use]
    pub fn turn(&self) -> TurnId {
        self.turn_named(&self.head.id)
    }

    /// Another turn of the account.
    #[must_use]
    pub fn turn_named(&self, id: &str) -> TurnId {
        TurnId::owned(self.account, id)
    }

    /// Digest of the request's content; see [`CallHead::content`].
    #[must_use]
    pub fn content(&self, method: &Method, uri: &Uri, body: &[u8]) -> ContentDigest {
        self.content_in_pieces(method, uri, &[body]).own
    }

    /// Content of a request whose body is given in pieces.
    #[must_use]
    pub fn content_in_pieces(&self, method: &Method, uri: &Uri, body: &[&[u8]]) -> RequestContent {
        let content = self.head.content_in_pieces(method, uri, body);
        RequestContent::new(self.account, content)
    }
}
