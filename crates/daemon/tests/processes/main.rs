//! Real daemons and stand-ins as separate processes on loopback.

mod failures;
mod faults;
mod hostile;
mod operators;
mod support;
