//! `sheet export`: prints the plan as a sheet.

use std::io;
use std::io::Write;

use reqwest::Method;

use super::CommandInput;
use crate::failure::CommandFailure;

/// Prints the sheet.
///
/// # Errors
///
/// Returns why it can't be had.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let sheet = input.client()?.send(Method::GET, "/v1/sheet", Vec::new())?;
    let written = io::stdout().write_all(&sheet);
    written.map_err(|source| CommandFailure::File {
        action: "write",
        path: "standard output".to_owned(),
        source,
    })
}
