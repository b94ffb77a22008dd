//! `dump`: prints the complete state of one daemon, without secrets.

use super::CommandInput;
use super::print_json;
use crate::failure::CommandFailure;

/// Fetches `/dump` and prints it as JSON.
///
/// # Errors
///
/// Returns a failure if the key can't be read or the request fails.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let dump: serde_json::Value = input.client()?.get("/dump")?;
    print_json(&dump);
    Ok(())
}
