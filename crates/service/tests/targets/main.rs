//! Integration tests of forwarded requests and item runs against faulty stub targets.

mod forward;
mod run;
mod support;
