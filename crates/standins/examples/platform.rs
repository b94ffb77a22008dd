//! Runs a stand-in for the platform. With `--checks-fence 1`, it refuses outdated fencing
//! tokens.

use bergamotlane_standins::arguments::StandinArguments;
use bergamotlane_standins::platform::PlatformHandler;
use bergamotlane_standins::platform::PlatformState;
use bergamotlane_standins::reply::serve;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let arguments = StandinArguments::parse(&["listen", "checks-fence"]);
    let state = PlatformState::new(arguments.number("checks-fence", 0) == 1);
    serve(arguments.address("listen"), PlatformHandler { state }).await;
}
