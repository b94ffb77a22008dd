//! Runs a stand-in for a plain service that announces itself to the entries.

use std::sync::Arc;
use std::time::Duration;

use bergamotlane_standins::announce::AnnouncerSettings;
use bergamotlane_standins::announce::announce;
use bergamotlane_standins::arguments::StandinArguments;
use bergamotlane_standins::plain::PlainHandler;
use bergamotlane_standins::plain::PlainState;
use bergamotlane_standins::reply::serve;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let names = [&AnnouncerSettings::OPTIONS[..], &["work-us"][..]].concat();
    let arguments = StandinArguments::parse(&names);
    let announcer = AnnouncerSettings::read(&arguments);
    let work = Duration::from_micros(arguments.number("work-us", 500));
    let state = PlainState::new(work);
    let address = announcer.address;
    let announced_state = Arc::clone(&state);
    tokio::spawn(announce(announcer, move || announced_state.condition()));
    serve(address, PlainHandler { state }).await;
}
