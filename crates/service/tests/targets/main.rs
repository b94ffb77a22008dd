//! Integration tests of forwarded requests and item runs against faulty stub targets.

mod answer_ends;
#[path = "../common/mod.rs"]
mod common;
mod copies;
mod cut;
mod cut_relays;
#[path = "../common/earlier_state.rs"]
mod earlier_state;
mod forward;
mod framing;
mod group;
mod item_ends;
mod kept;
#[path = "../common/proxy.rs"]
mod proxy;
mod readers;
mod relay;
mod reported;
mod run;
mod scripted;
mod second_copies;
mod severed;
mod silent;
mod status_lines;
mod stored;
mod support;
