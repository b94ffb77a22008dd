//! Requests and runs against stand-ins of targets that misbehave.

mod forward;
mod run;
mod support;
