//! Command line for operators of bergamotlane.

mod client;
mod cmd;
mod config;
mod failure;
mod table;

use std::env;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match cmd::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            failure.print();
            ExitCode::from(failure.exit_status())
        }
    }
}
