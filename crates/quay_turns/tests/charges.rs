//! Programs that last longer than a store keeps charges, with a quorum of stores that
//! changes from one reservation to the next.

use {
    proptest::prelude::*,
    quay_turns::{
        Charge, ChargeStatus, ChargeTally, ChargeVerdict, Record, RecordLocation, StoreIndex,
        StoreIndexSettings, StoreMember, StoreView,
    },
    quay_types::{AttemptTag, ProgramTag, Time, Tokens},
    std::time::Duration,
};

const PROGRAM: ProgramTag = ProgramTag(1);

/// Budget that no sequence of reservations exceeds.
const BUDGET: Tokens = Tokens(1_000_000);

/// Three stores with the time of all of them.
struct Group {
    view: StoreView,
    stores: Vec<StoreIndex>,
    now: Time,
    acknowledged: u64,
}

impl Group {
    fn new() -> Self {
        let member = |identity| StoreMember {
            identity,
            whole: true,
            ..StoreMember::default()
        };
        Self {
            view: StoreView {
                epoch: 1,
                members: (0..3).map(member).collect(),
            },
            stores: (0..3)
                .map(|_| StoreIndex::new(StoreIndexSettings::default()))
                .collect(),
            now: Time::ZERO,
            acknowledged: 0,
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        for store in &mut self.stores {
            store.expire(self.now, 0);
        }
    }

    fn insert(&mut self, store: usize, charge: Charge) {
        let location = RecordLocation {
            segment: 1,
            offset: 0,
            len: 0,
        };
        let record = Record::Charge(PROGRAM, charge);
        self.stores[store].insert(self.now, &record, location);
    }

    /// Reserves a token at all stores but one, as a front does. Returns the tokens that
    /// the front takes for those of other attempts.
    fn reserve(&mut self, left_out: usize) -> u64 {
        let own = Charge {
            attempt: AttemptTag(self.acknowledged),
            standing: ChargeStatus::Reserved,
            tokens: Tokens(1),
        };
        let mut tally = ChargeTally::new(&self.view, own, BUDGET);
        for store in (0..3).filter(|it| *it != left_out) {
            self.insert(store, own);
            let charges = self.stores[store].charges(PROGRAM);
            tally.synced(store as u64, charges, false);
        }
        let ChargeVerdict::Covered { others } = tally.verdict() else {
            panic!("a quorum has replied");
        };
        for (store, charges) in tally.lacking() {
            let store = usize::try_from(store).expect("small");
            for charge in charges {
                self.insert(store, charge);
            }
        }
        self.acknowledged += 1;
        others.0
    }
}

/// Guards against a program beyond its budget: a store drops early charges that another
/// one, which is not asked, still holds.
#[test]
fn no_charge_of_a_program_is_forgotten_while_other_stores_are_asked() {
    let mut group = Group::new();
    assert_eq!(group.reserve(2), 0);
    for earlier in 1..=3 {
        group.pass(Duration::from_secs(50));
        assert_eq!(group.reserve(1), earlier);
    }
    // The second store has dropped the first charge by now, and the first one is away.
    assert_eq!(group.reserve(0), 4);
}

proptest! {
    #[test]
    fn every_reservation_sees_all_earlier_ones(
        steps in prop::collection::vec((0..3_usize, 0..120_u64), 1..40),
    ) {
        let mut group = Group::new();
        for (left_out, seconds) in steps {
            group.pass(Duration::from_secs(seconds));
            let acknowledged = group.acknowledged;
            prop_assert_eq!(group.reserve(left_out), acknowledged);
        }
    }

    #[test]
    fn members_that_replied_alike_lack_nothing(charges in prop::collection::vec(0..9_u64, 0..9)) {
        let charge = |attempt| Charge {
            attempt: AttemptTag(attempt),
            standing: ChargeStatus::Settled,
            tokens: Tokens(attempt),
        };
        let mut tally = ChargeTally::new(&Group::new().view, charge(99), BUDGET);
        for member in 0..2 {
            tally.synced(member, charges.iter().copied().map(charge), false);
        }
        prop_assert!(tally.lacking().is_empty());
    }
}
