//! Request to the members of a group, and the order in which they are asked.

use {
    super::{
        client::{StoreClient, target},
        encoded_op::EncodedOp,
    },
    crate::gateway::messages::StoreReply,
    indexmap::IndexMap,
    quay_turns::{StoreMember, StoreView},
    quay_types::{GroupId, ProgramTag, Time},
    std::{rc::Rc, time::Duration},
    tokio::{sync::mpsc, time::timeout},
};

/// Time after which members that were left out are asked as well: several times
/// a disk sync and the way there and back.
const HEDGE_DELAY: Duration = Duration::from_millis(25);

/// Time for which a member that did not answer within [`HEDGE_DELAY`] is asked
/// last.
const SLOW_TIME: Duration = Duration::from_secs(2);

/// Members that did not answer in time lately.
#[derive(Debug, Default)]
pub struct SlowMembers(IndexMap<u64, Time>);

impl SlowMembers {
    /// Records that a member did not answer in time.
    pub fn record(&mut self, now: Time, identity: u64) {
        self.0.insert(identity, now + SLOW_TIME);
    }

    /// The members of a group in the order in which they are asked for a program: whole
    /// ones that answer in time come first. Otherwise all hosts use the same order, so
    /// that a program's records are on the same members.
    #[must_use]
    pub fn order(&mut self, now: Time, view: &StoreView, program: ProgramTag) -> Vec<usize> {
        self.0.retain(|_, until| *until > now);
        let mut order = view.order_for(program);
        order.sort_by_key(|at| {
            let member = &view.members[*at];
            (!member.whole, self.0.contains_key(&member.identity))
        });
        order
    }
}

/// Request to the members of a group. A write quorum is asked first, and the
/// other members only if one of these fails or is late: a quorum is mostly all
/// that is needed, and each further copy costs processor time, memory and traffic
/// between data centres.
pub struct GroupRequest {
    client: StoreClient,
    group: GroupId,
    view: Rc<StoreView>,
    op: EncodedOp,
    /// Members that were not asked yet, by position in the view.
    rest: Vec<usize>,
    /// Members that were asked and did not answer yet.
    waiting: Vec<u64>,
    replies: mpsc::UnboundedReceiver<(u64, Option<StoreReply>)>,
    tx: mpsc::UnboundedSender<(u64, Option<StoreReply>)>,
}

impl GroupRequest {
    /// Sends an operation for a program to a write quorum of a group.
    pub fn with_quorum(
        client: &StoreClient,
        (group, program): (GroupId, ProgramTag),
        view: &Rc<StoreView>,
        op: EncodedOp,
    ) -> Self {
        let mut rest = client.member_order(view, program);
        let first: Vec<usize> = rest.drain(..view.write_quorum().min(rest.len())).collect();
        let (tx, replies) = mpsc::unbounded_channel();
        let mut request = Self {
            client: client.clone(),
            group,
            view: Rc::clone(view),
            op,
            rest,
            waiting: Vec::new(),
            replies,
            tx,
        };
        request.ask(first);
        request
    }

    /// Sends an operation to all members of a group.
    pub fn with_all(
        client: &StoreClient,
        target: (GroupId, ProgramTag),
        view: &Rc<StoreView>,
        op: EncodedOp,
    ) -> Self {
        let mut request = Self::with_quorum(client, target, view, op);
        request.ask_rest();
        request
    }

    fn ask(&mut self, members: Vec<usize>) {
        for at in members {
            let member: &StoreMember = &self.view.members[at];
            self.waiting.push(member.identity);
            let tx = self.tx.clone();
            let target = target(self.group, &self.view, member);
            self.client
                .ask_member(member.addr, target, self.op.clone(), tx);
        }
    }

    fn ask_rest(&mut self) {
        let rest = std::mem::take(&mut self.rest);
        self.ask(rest);
    }

    /// The next reply with the identity of the member, `None` in place of the
    /// reply of one that failed. Returns `None` once all members have answered.
    pub async fn next(&mut self) -> Option<(u64, Option<StoreReply>)> {
        loop {
            if self.waiting.is_empty() {
                if self.rest.is_empty() {
                    return None;
                }
                self.ask_rest();
            }
            let limit = if self.rest.is_empty() {
                Duration::MAX
            } else {
                HEDGE_DELAY
            };
            let Ok(reply) = timeout(limit, self.replies.recv()).await else {
                self.client.record_slow(&self.waiting);
                self.ask_rest();
                continue;
            };
            let (identity, reply) = reply?;
            self.waiting.retain(|it| *it != identity);
            let failed = matches!(
                reply,
                None | Some(StoreReply::Refused | StoreReply::Stale(_))
            );
            if failed {
                self.ask_rest();
            }
            return Some((identity, reply));
        }
    }
}
