//! `key withdraw`: revokes a key permanently.

use reqwest::Method;

use super::CommandInput;
use super::print_accepted;
use crate::failure::CommandFailure;

/// Sends the change that withdraws the key with the given ID.
///
/// # Errors
///
/// Returns a failure if the command line is invalid or the change fails.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let id = input.single_argument("ID")?;
    let options = input.change_options()?;
    let path = format!("/v1/keys/{id}");
    let accepted = input
        .client()?
        .change(Method::DELETE, &path, Vec::new(), options)?;
    print_accepted(input, &accepted);
    Ok(())
}
