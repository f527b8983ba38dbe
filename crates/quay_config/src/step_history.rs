//! The latest steps, for subscribers that are only a few steps behind.

use {
    crate::{Image, Step},
    quay_types::ConfigIndex,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Maximum number of steps that are kept; a subscriber further behind receives
/// a snapshot.
pub const MAX_HISTORY_STEPS: usize = 256;

/// Position of a subscriber, sent with a request for updates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Index that the subscriber holds; 0 before the first document.
    pub index: ConfigIndex,
    /// Whether the subscriber needs a snapshot, because a step could not be
    /// applied.
    pub full: bool,
}

/// The changes that a subscriber lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// No changes; this index is in force.
    Current(ConfigIndex),
    /// The steps from the subscriber's index to the one in force.
    Steps(Box<[Step]>),
    /// The complete state in force.
    Snapshot(Box<Image>),
    /// No document is in force yet.
    Empty,
}

/// A step and its encoded size in bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct SizedStep {
    step: Step,
    bytes: u32,
}

/// A bounded history of the latest steps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepHistory {
    /// Steps with consecutive indexes, up to the index in force.
    steps: VecDeque<SizedStep>,
}

impl StepHistory {
    /// Appends the step that was just applied.
    pub(crate) fn push(&mut self, step: Step) {
        if let Some(last) = self.steps.back() {
            assert_eq!(
                last.step.index.0 + 1,
                step.index.0,
                "step indexes are not consecutive"
            );
        }
        let bytes = encoded_bytes(&step);
        self.steps.push_back(SizedStep { step, bytes });
        if self.steps.len() > MAX_HISTORY_STEPS {
            self.steps.pop_front();
        }
    }

    /// Returns the changes that a subscriber lacks: steps, or a snapshot of
    /// `image` if the subscriber is too far behind or the steps are larger.
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

    /// The steps after the subscriber's index; `None` if some have been evicted or
    /// the steps are larger than a snapshot.
    fn steps_after(&self, poll: Poll, image: &Image) -> Option<Box<[Step]>> {
        let missing = image.index.0.checked_sub(poll.index.0)?;
        let missing = usize::try_from(missing).ok()?;
        if poll.full || poll.index == ConfigIndex(0) || missing > self.steps.len() {
            return None;
        }
        let tail = || self.steps.iter().skip(self.steps.len() - missing);
        let bytes: usize = tail().map(|sized| sized.bytes as usize).sum();
        let snapshot: usize = image
            .sections
            .values()
            .map(|section| section.text.len())
            .sum();
        // Steps of up to 1 KiB in total are sent even if the document is smaller.
        (bytes <= snapshot.max(1 << 10)).then(|| tail().map(|sized| sized.step.clone()).collect())
    }
}

/// Encoded size of a step, in bytes.
fn encoded_bytes(step: &Step) -> u32 {
    let bytes = postcard::experimental::serialized_size(step).unwrap_or(usize::MAX);
    u32::try_from(bytes).unwrap_or(u32::MAX)
}
