//! Benchmarks target selection among 10, 100, 1,000 and 6,400 targets.
//!
//! Prints one JSON line per count, with the mean time of a selection in nanoseconds.
//!
//! Usage: cargo run --release -p bergamotlane-policy --example choice

use std::hint::black_box;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::targets::AffinityTable;
use bergamotlane_policy::targets::ChoiceRequest;
use bergamotlane_policy::targets::ChoiceTarget;
use bergamotlane_policy::targets::TargetChooser;
use bergamotlane_policy::targets::TargetCounters;
use bergamotlane_storage::clock::now;

const ROUNDS: u32 = 2_000_000;
const SEED: u64 = 20_261_204;

fn main() {
    for count in [10_u64, 100, 1_000, 6_400] {
        let mut random = StdRng::seed_from_u64(SEED);
        let mut chooser = TargetChooser::default();
        for identity in 0..count {
            let counters = Arc::new(TargetCounters::default());
            counters.grant(16, ClockTime(u64::MAX), true);
            chooser.insert(ChoiceTarget {
                identity,
                address: "127.0.0.1:1".into(),
                counters,
                local: identity % 3 == 0,
                reclaimable: identity % 2 == 0,
                version: 1,
                software: 0,
                others_load: random.random_range(0..8),
                capacity: 16,
            });
        }
        let affinity = AffinityTable::default();
        let started = now();
        for _ in 0..ROUNDS {
            let request = ChoiceRequest {
                prefix: random.random_range(1..10_000),
                spread: random.random_range(0..u64::MAX),
                ..ChoiceRequest::default()
            };
            let chosen = chooser.choose(ClockTime(0), &request, &affinity);
            if let Some((key, _guard)) = black_box(chosen)
                && let Some(target) = chooser.get(key)
            {
                affinity.set(request.prefix, target.identity);
            }
        }
        let elapsed_ms = now().since(started) as f64;
        let nanos = elapsed_ms * 1_000_000.0 / f64::from(ROUNDS);
        println!("{{\"figure\":\"choice_{count}\",\"value\":{nanos:.0},\"unit\":\"ns\"}}");
    }
}
