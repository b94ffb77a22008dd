//! Runs a stand-in for the weight store; `--limit` sets the number of concurrent fetches.

use std::time::Duration;

use bergamotlane_standins::arguments::StandinArguments;
use bergamotlane_standins::reply::serve;
use bergamotlane_standins::weights::WeightHandler;
use bergamotlane_standins::weights::WeightState;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let arguments = StandinArguments::parse(&["listen", "limit", "fetch-ms"]);
    let fetch_time = Duration::from_millis(arguments.number("fetch-ms", 50));
    let state = WeightState::new(arguments.number("limit", 8) as usize, fetch_time);
    serve(arguments.address("listen"), WeightHandler { state }).await;
}
