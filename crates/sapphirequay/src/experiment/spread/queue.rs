//! Event queue ordered by simulated time.

use {
    quay_types::Time,
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// Pending events. Events with the same time are popped in insertion order.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(Time, u64, Unordered<E>)>>,
    count: u64,
}

/// Wrapper that excludes an event from the ordering of the heap.
struct Unordered<E>(E);

impl<E> PartialEq for Unordered<E> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<E> Eq for Unordered<E> {}

impl<E> PartialOrd for Unordered<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Unordered<E> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub const fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            count: 0,
        }
    }

    /// Schedules an event.
    pub fn push(&mut self, at: Time, event: E) {
        self.count += 1;
        self.heap.push(Reverse((at, self.count, Unordered(event))));
    }

    /// Removes the next event if it is due before `until`.
    pub fn pop(&mut self, until: Time) -> Option<(Time, E)> {
        let due = self
            .heap
            .peek()
            .is_some_and(|Reverse((at, ..))| *at < until);
        if !due {
            return None;
        }
        let Reverse((at, _, Unordered(event))) = self.heap.pop()?;
        Some((at, event))
    }
}
