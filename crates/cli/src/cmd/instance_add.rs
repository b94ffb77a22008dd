//! `instance add`: adds a live instance with a disk to the group, as a learner first.

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
    input.client()?.send(Method::POST, &path, Vec::new())?;
    println!("proposed");
    Ok(())
}
