//! `sheet export`: prints the current plan as a sheet.

use std::io;
use std::io::Write;

use reqwest::Method;

use super::CommandInput;
use crate::failure::CommandFailure;

/// Fetches the sheet and writes it to standard output unchanged.
///
/// # Errors
///
/// Returns a failure if the key can't be read, the request fails or standard output can't
/// be written.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let sheet = input.client()?.send(Method::GET, "/v1/sheet", Vec::new())?;
    let written = io::stdout().write_all(&sheet);
    written.map_err(|source| CommandFailure::File {
        action: "write",
        path: "standard output".to_owned(),
        source,
    })
}
