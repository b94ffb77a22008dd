//! `sheet apply`: replaces the plan by a sheet.

use reqwest::Method;

use super::CommandInput;
use super::print_accepted;
use crate::config::read_bytes;
use crate::failure::CommandFailure;

/// Sends the sheet.
///
/// # Errors
///
/// Returns why it was not accepted.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let path = input.only("FILE")?;
    let bytes = read_bytes(path)?;
    let options = input.change_options()?;
    let client = input.client()?;
    let accepted = client.change(Method::PUT, "/v1/sheet", bytes, options)?;
    print_accepted(input, &accepted);
    Ok(())
}
