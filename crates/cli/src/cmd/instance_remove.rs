//! `instance remove`: removes a member from the group.

use reqwest::Method;

use super::CommandInput;
use crate::failure::CommandFailure;

/// Proposes the membership change; `instance list` shows when it is done.
///
/// # Errors
///
/// Returns why it was not proposed.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let name = input.only("NAME")?;
    let path = format!("/v1/instances/{name}");
    input.client()?.send(Method::DELETE, &path, Vec::new())?;
    println!("proposed");
    Ok(())
}
