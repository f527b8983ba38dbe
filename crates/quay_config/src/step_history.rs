//! The latest steps, for subscribers that are a little behind.

use {
    crate::{Image, Step},
    quay_types::ConfigIndex,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Steps that are kept; a subscriber further behind takes a snapshot.
pub const MAX_HISTORY_STEPS: usize = 256;

/// What a subscriber says of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Index that it holds; 0 before the first document.
    pub index: ConfigIndex,
    /// Whether it needs everything, since a step did not fit.
    pub full: bool,
}

/// What a subscriber misses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Nothing: this index is in force.
    Current(ConfigIndex),
    /// The steps from its index to the one in force.
    Steps(Box<[Step]>),
    /// Everything in force.
    Snapshot(Box<Image>),
    /// No document is in force yet.
    Empty,
}

/// A step and the bytes that it takes on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    step: Step,
    bytes: u32,
}

/// The latest steps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepHistory {
    /// Indexes rise by one from step to step and end at the one in force.
    steps: VecDeque<Kept>,
}

impl StepHistory {
    /// Adds the step that was just taken.
    pub(crate) fn push(&mut self, step: Step) {
        if let Some(last) = self.steps.back() {
            assert_eq!(last.step.index.0 + 1, step.index.0, "the index skips");
        }
        let bytes = encoded_bytes(&step);
        self.steps.push_back(Kept { step, bytes });
        if self.steps.len() > MAX_HISTORY_STEPS {
            self.steps.pop_front();
        }
    }

    /// What a subscriber misses of `image`: steps, or a snapshot if it is far
    /// behind or the steps are longer.
    #[must_use]
    pub fn update(&self, poll: Poll, image: &Image) -> Update {
        if image.index == ConfigIndex(0) {
            return Update::Empty;
        }
        if poll.index >= image.index && !poll.full {
            return Update::Current(image.index);
        }
        match self.steps_after(poll, image) {
            Some(steps) => Update::Steps(steps),
            None => Update::Snapshot(Box::new(image.clone())),
        }
    }

    /// The steps after an index, if they are all here and not too long.
    fn steps_after(&self, poll: Poll, image: &Image) -> Option<Box<[Step]>> {
        let missing = image.index.0.checked_sub(poll.index.0)?;
        let missing = usize::try_from(missing).ok()?;
        if poll.full || poll.index == ConfigIndex(0) || missing > self.steps.len() {
            return None;
        }
        let tail = || self.steps.iter().skip(self.steps.len() - missing);
        let bytes: usize = tail().map(|kept| kept.bytes as usize).sum();
        let snapshot: usize = image
            .sections
            .values()
            .map(|section| section.text.len())
            .sum();
        // A few small steps are sent as they are, however small the document.
        (bytes <= snapshot.max(1 << 10)).then(|| tail().map(|kept| kept.step.clone()).collect())
    }
}

/// Bytes of a step on the wire.
fn encoded_bytes(step: &Step) -> u32 {
    let bytes = postcard::experimental::serialized_size(step).unwrap_or(usize::MAX);
    u32::try_from(bytes).unwrap_or(u32::MAX)
}
