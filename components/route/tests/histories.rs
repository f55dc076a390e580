//! Random histories of entries and agents, checked against the invariants of at-most-once
//! requests.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod world;

use proptest::{prelude::*, test_runner::RngSeed};
use world::{BOOKING_SLOTS, Op, World};

const AGENTS: usize = 4;
const ENTRIES: usize = 2;

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (0..=BOOKING_SLOTS, 0..ENTRIES).prop_map(|(slot, entry)| Op::Submit { slot, entry }),
        10 => Just(Op::DeliverAll),
        3 => any::<prop::sample::Index>().prop_map(Op::Deliver),
        2 => any::<prop::sample::Index>().prop_map(Op::Complete),
        2 => any::<prop::sample::Index>().prop_map(Op::CompleteAndLoseAnswer),
        2 => any::<prop::sample::Index>().prop_map(Op::BreakConnection),
        1 => any::<prop::sample::Index>().prop_map(Op::DisconnectCaller),
        3 => (10_u64..4000).prop_map(Op::Advance),
        1 => (1_u64..40).prop_map(Op::AdvanceConnected),
        3 => (0..AGENTS, 0..ENTRIES).prop_map(|(agent, entry)| Op::Heartbeat { agent, entry }),
        1 => (0..ENTRIES).prop_map(Op::Exchange),
        1 => Just(Op::Join),
        2 => (0..AGENTS).prop_map(Op::Restart),
        1 => (0..AGENTS).prop_map(Op::Leave),
        3 => (0..AGENTS).prop_map(Op::ToggleZone),
        4 => (0..ENTRIES).prop_map(Op::AdoptConfig),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Callers repeat bookings at any entry, among restarts of agents, zones taken out and
    /// brought back, and lost and late messages. A booking runs at most once, each verdict
    /// is true, and every request ends exactly once.
    #[test]
    fn a_booking_runs_at_most_once(
        ops in prop::collection::vec(op(), 1..120),
        with_uuids in any::<bool>(),
        established in any::<bool>(),
    ) {
        let mut world = World::new(AGENTS, ENTRIES, with_uuids, established);
        for op in ops {
            world.apply(op);
            world.check_invariants();
        }
        world.finish();
        world.check_invariants();
    }
}
