//! Daemon of the bergamotlane rollout service, which runs on every instance.
//!
//! A single control thread takes part in consensus and publishes views of the replicated state;
//! the traffic threads admit requests and forward them to targets according to these views.

mod config;
mod control;
mod daemon;
mod engine;
mod gate;
mod logging;
mod metrics;
mod peers;
mod platform;
mod rollout;
mod samples;
mod serve;
mod settings;
mod shared;
mod suspects;
mod target_client;

use std::env;
use std::process::ExitCode;

use config::ConfigRequest;

use bergamotlane_storage as storage;
use bergamotlane_storage::clock;

/// Exit status if the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let config = match config::read_config(&arguments) {
        Ok(ConfigRequest::Run(config)) => *config,
        Ok(ConfigRequest::Check) => {
            println!("settings are valid");
            return ExitCode::SUCCESS;
        }
        Ok(ConfigRequest::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            for finding in &error.findings {
                eprintln!("bergamotlaned: {finding}");
            }
            eprintln!("bergamotlaned: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    match daemon::run_daemon(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bergamotlaned: {error}");
            ExitCode::FAILURE
        }
    }
}
