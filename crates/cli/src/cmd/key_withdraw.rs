//! `key withdraw`: withdraws a key for good.

use reqwest::Method;

use super::CommandInput;
use super::print_accepted;
use crate::failure::CommandFailure;

/// Sends the change.
///
/// # Errors
///
/// Returns why it was not accepted.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let id = input.only("ID")?;
    let options = input.change_options()?;
    let path = format!("/v1/keys/{id}");
    let accepted = input
        .client()?
        .change(Method::DELETE, &path, Vec::new(), options)?;
    print_accepted(input, &accepted);
    Ok(())
}
