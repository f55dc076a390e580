//! The order of workers in the index, against a list that is sorted anew each time.

use std::collections::BTreeMap;

use place::OrderedIndex;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Change {
    Set(u8, Vec<u8>, i64),
    Remove(u8),
}

fn change() -> impl Strategy<Value = Change> {
    let groups = proptest::sample::subsequence(vec![0u8, 1, 2], 0..=3);
    prop_oneof![
        4 => (0u8..12, groups, -3i64..4).prop_map(|(worker, groups, amount)| {
            Change::Set(worker, groups, amount)
        }),
        1 => (0u8..12).prop_map(Change::Remove),
    ]
}

proptest! {
    #[test]
    fn workers_come_in_the_order_of_their_amounts(
        changes in proptest::collection::vec(change(), 0..60),
        least in -4i64..5,
    ) {
        let mut index = OrderedIndex::default();
        let mut known: BTreeMap<u8, (Vec<u8>, i64)> = BTreeMap::new();
        for change in changes {
            match change {
                Change::Set(worker, groups, amount) => {
                    index.set(&worker, &groups, amount);
                    known.insert(worker, (groups, amount));
                }
                Change::Remove(worker) => {
                    index.remove(&worker);
                    known.remove(&worker);
                }
            }
        }
        for group in 0..3u8 {
            let mut expected: Vec<(i64, u8)> = Vec::new();
            for (worker, (groups, amount)) in &known {
                if groups.contains(&group) && *amount >= least {
                    expected.push((*amount, *worker));
                }
            }
            expected.sort_unstable();
            let workers: Vec<u8> = expected.iter().map(|(_, worker)| *worker).collect();
            let rising: Vec<u8> = index.least_first(&group, least).copied().collect();
            prop_assert_eq!(&rising, &workers);
            expected.sort_by_key(|(amount, worker)| (-amount, *worker));
            let workers: Vec<u8> = expected.iter().map(|(_, worker)| *worker).collect();
            let falling: Vec<u8> = index.most_first(&group, least).copied().collect();
            prop_assert_eq!(&falling, &workers);
        }
    }
}
