//! Tests of the replicated state.

mod applied;
mod disk;
mod earlier;
#[path = "../common/earlier_state.rs"]
mod earlier_state;
mod owners;
mod references;
mod support;
