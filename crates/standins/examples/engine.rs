//! Runs a stand-in for a model engine that announces itself to the entries.

use std::sync::Arc;
use std::time::Duration;

use bergamotlane_standins::announce::AnnouncerSettings;
use bergamotlane_standins::announce::announce;
use bergamotlane_standins::arguments::StandinArguments;
use bergamotlane_standins::engine::EngineHandler;
use bergamotlane_standins::engine::EngineSettings;
use bergamotlane_standins::engine::EngineState;
use bergamotlane_standins::reply::serve;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let engine_options = [
        "token-us",
        "tokens",
        "cold-ms",
        "load-ms",
        "straggler-per-mille",
        "cold-bears",
        "store",
    ];
    let names = [&AnnouncerSettings::OPTIONS[..], &engine_options[..]].concat();
    let arguments = StandinArguments::parse(&names);
    let announcer = AnnouncerSettings::read(&arguments);
    let state = EngineState::new(EngineSettings {
        token_time: Duration::from_micros(arguments.number("token-us", 2_000)),
        token_count: arguments.number("tokens", 24) as u32,
        cold_start: Duration::from_millis(arguments.number("cold-ms", 500)),
        load_time: Duration::from_millis(arguments.number("load-ms", 100)),
        straggler_per_mille: arguments.number("straggler-per-mille", 0),
        cold_capacity: arguments.number("cold-bears", 2) as u32,
        store: arguments.text("store", ""),
    });
    let address = announcer.address;
    let announced_state = Arc::clone(&state);
    tokio::spawn(announce(announcer, move || announced_state.condition()));
    serve(address, EngineHandler { state }).await;
}
