//! Random histories of entries and agents, checked against what must hold.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod world;

use proptest::{prelude::*, test_runner::RngSeed};
use world::{IDS, Op, World};

const AGENTS: usize = 4;
const ENTRIES: usize = 2;

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (0..=IDS, 0..ENTRIES).prop_map(|(slot, entry)| Op::Submit { slot, entry }),
        10 => Just(Op::Flow),
        3 => any::<prop::sample::Index>().prop_map(Op::Deliver),
        2 => any::<prop::sample::Index>().prop_map(Op::Complete),
        2 => any::<prop::sample::Index>().prop_map(Op::CompleteSilently),
        2 => any::<prop::sample::Index>().prop_map(Op::Break),
        1 => any::<prop::sample::Index>().prop_map(Op::CallerGone),
        3 => (10_u64..4000).prop_map(Op::Advance),
        1 => (1_u64..40).prop_map(Op::Settle),
        3 => (0..AGENTS, 0..ENTRIES).prop_map(|(agent, entry)| Op::Heartbeat { agent, entry }),
        1 => (0..ENTRIES).prop_map(Op::Exchange),
        1 => Just(Op::Join),
        2 => (0..AGENTS).prop_map(Op::Restart),
        1 => (0..AGENTS).prop_map(Op::Leave),
        3 => (0..AGENTS).prop_map(Op::FlipZone),
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

    /// Repeats of a booking at any entry, among restarts, zones out and in, lost
    /// and late messages: it runs at most once, each verdict is true, and every
    /// request is answered exactly once.
    #[test]
    fn a_booking_runs_at_most_once(
        ops in prop::collection::vec(op(), 1..120),
        timed in any::<bool>(),
        mature in any::<bool>(),
    ) {
        let mut world = World::new(AGENTS, ENTRIES, timed, mature);
        for op in ops {
            world.apply(op);
            world.check();
        }
        world.end();
        world.check();
    }
}
