//! `sheet apply`: replaces the plan with the contents of a sheet.

use reqwest::Method;

use super::CommandInput;
use super::print_accepted;
use crate::config::read_bytes;
use crate::failure::CommandFailure;

/// Sends the sheet as it is; the daemon validates it.
///
/// # Errors
///
/// Returns a failure if the command line is invalid, the file can't be read or the change
/// fails.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let path = input.single_argument("FILE")?;
    let bytes = read_bytes(path)?;
    let options = input.change_options()?;
    let client = input.client()?;
    let accepted = client.change(Method::PUT, "/v1/sheet", bytes, options)?;
    print_accepted(input, &accepted);
    Ok(())
}
