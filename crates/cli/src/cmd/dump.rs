//! `dump`: the whole state of the asked daemon, without secrets.

use super::CommandInput;
use super::print_json;
use crate::failure::CommandFailure;

/// Prints the state as JSON.
///
/// # Errors
///
/// Returns why it can't be had.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let dump: serde_json::Value = input.client()?.get("/dump")?;
    print_json(&dump);
    Ok(())
}
