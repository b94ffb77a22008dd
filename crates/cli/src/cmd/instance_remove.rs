//! `instance remove`: removes a member from the consensus group.

use reqwest::Method;

use super::CommandInput;
use crate::failure::CommandFailure;

/// Proposes the membership change and returns without waiting for it; `instance list` shows
/// when it is complete.
///
/// # Errors
///
/// Returns a failure if the command line is invalid or the request fails.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let name = input.single_argument("NAME")?;
    let path = format!("/v1/instances/{name}");
    input.client()?.send(Method::DELETE, &path, Vec::new())?;
    println!("proposed");
    Ok(())
}
