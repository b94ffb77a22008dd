//! `zone pull`: takes an availability zone out of service.

use reqwest::Method;

use super::CommandInput;
use super::print_accepted;
use crate::failure::CommandFailure;

/// Sends the change that pulls the zone.
///
/// # Errors
///
/// Returns a failure if the command line is invalid or the change fails.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let zone = input.single_argument("ZONE")?;
    let options = input.change_options()?;
    let path = format!("/v1/zones/{zone}/pull");
    let accepted = input
        .client()?
        .change(Method::POST, &path, Vec::new(), options)?;
    print_accepted(input, &accepted);
    Ok(())
}
