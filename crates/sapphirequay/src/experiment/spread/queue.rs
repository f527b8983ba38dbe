//! Events in the order of their virtual time.

use {
    quay_types::Time,
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// Events that are due later; those of one time keep their order.
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<(Time, u64, Keyed<E>)>>,
    count: u64,
}

/// An event that takes no part in the order.
struct Keyed<E>(E);

impl<E> PartialEq for Keyed<E> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<E> Eq for Keyed<E> {}

impl<E> PartialOrd for Keyed<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Keyed<E> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<E> Queue<E> {
    /// No events.
    pub const fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            count: 0,
        }
    }

    /// Adds an event.
    pub fn push(&mut self, at: Time, event: E) {
        self.count += 1;
        self.heap.push(Reverse((at, self.count, Keyed(event))));
    }

    /// Takes the next event, if it is due before `until`.
    pub fn pop(&mut self, until: Time) -> Option<(Time, E)> {
        let due = self
            .heap
            .peek()
            .is_some_and(|Reverse((at, ..))| *at < until);
        if !due {
            return None;
        }
        let Reverse((at, _, Keyed(event))) = self.heap.pop()?;
        Some((at, event))
    }
}
