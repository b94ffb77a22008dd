//! Runs a stand-in engine.

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
    let own = [
        "token-us",
        "tokens",
        "cold-ms",
        "load-ms",
        "straggler-per-mille",
        "cold-bears",
        "store",
    ];
    let names = [&AnnouncerSettings::OPTIONS[..], &own[..]].concat();
    let arguments = StandinArguments::parse(&names);
    let announcer = AnnouncerSettings::read(&arguments);
    let state = EngineState::new(EngineSettings {
        token: Duration::from_micros(arguments.number("token-us", 2_000)),
        tokens: arguments.number("tokens", 24) as u32,
        cold_start: Duration::from_millis(arguments.number("cold-ms", 500)),
        load_time: Duration::from_millis(arguments.number("load-ms", 100)),
        straggler_per_mille: arguments.number("straggler-per-mille", 0),
        cold_bears: arguments.number("cold-bears", 2) as u32,
        store: arguments.text("store", ""),
    });
    let address = announcer.address;
    let announced = Arc::clone(&state);
    tokio::spawn(announce(announcer, move || announced.condition()));
    serve(address, EngineHandler { state }).await;
}
