//! `zone pull`: takes a zone out.

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
    let zone = input.only("ZONE")?;
    let options = input.change_options()?;
    let path = format!("/v1/zones/{zone}/pull");
    let accepted = input
        .client()?
        .change(Method::POST, &path, Vec::new(), options)?;
    print_accepted(input, &accepted);
    Ok(())
}
