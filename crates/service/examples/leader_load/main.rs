//! Prints the processor time that parts of the leader's work take per second, by number of targets.
//!
//! Drives the registry, the scheduler, the weight planner and the views in simulated time, without
//! network, disk or consensus: engines with four models each send heartbeats, and trainers submit jobs
//! and name weight versions. Not included are connections, HTTP and the streams of the runs.
//!
//! Heartbeats come in batches of followers or, with `calls`, as calls that followers pass on; both with
//! their frames decoded.
//!
//! Usage: `leader_load [calls] [TARGETS]...`

mod beats;
mod events;
mod model;
mod times;

use crate::model::LoadModel;
use crate::times::PartTimes;
use bergamotlane_coordination::clock::ClockTime;

/// Interval of the leader's timers, in milliseconds.
const TICK_MS: u64 = 4;

/// Number of keepers that take heartbeats.
const FOLLOWERS: usize = 13;

/// Interval between two batches of a follower, in milliseconds.
const BATCH_MS: u64 = 200;

/// Interval between two heartbeats of a target, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;

/// Interval between two jobs of a trainer, in milliseconds.
const STEP_MS: u64 = 4_000;

/// Number of items of a job.
const ITEMS: u32 = 128;

/// Number of trainers.
const TRAINERS: u64 = 12;

/// Number of models on each engine.
const MODELS: u64 = 4;

/// Time that an engine takes to answer a query or an order, in milliseconds.
const ANSWER_MS: u64 = 20;

/// Time that an engine takes to load weights, in milliseconds.
const LOAD_MS: u64 = 910;

/// Time that is simulated and measured, in milliseconds.
const SIMULATED_MS: u64 = 12_000;

/// Name of the engines' service.
const SERVICE: &str = "llm";

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let has_calls = arguments.iter().any(|it| it == "calls");
    let counts = arguments.iter().filter_map(|it| it.parse().ok());
    let mut counts: Vec<usize> = counts.collect();
    if counts.is_empty() {
        counts = vec![300, 1_000, 3_000];
    }
    for count in counts {
        let mut model = LoadModel::new(count);
        model.has_calls = has_calls;
        // The first heartbeats make the targets known.
        let begin = 3 * STEP_MS;
        for time in (begin - HEARTBEAT_MS..begin).step_by(TICK_MS as usize) {
            model.send_calls(ClockTime(time));
        }
        model.times = PartTimes::default();
        for time in (begin..begin + SIMULATED_MS).step_by(TICK_MS as usize) {
            model.tick(ClockTime(time));
        }
        model.report();
    }
}
