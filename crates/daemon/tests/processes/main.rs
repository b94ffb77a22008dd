//! End-to-end tests with daemons and stand-ins as separate processes on the loopback interface.

mod ends;
mod failures;
mod faults;
mod hostile;
mod operators;
mod raw_target;
mod status_lines;
mod support;
