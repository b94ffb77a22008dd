//! `sheet check`: validates a sheet locally, without a daemon.

use super::CommandInput;
use crate::config::read_bytes;
use crate::failure::CommandFailure;
use bergamotlane_policy::plan::read_sheet;

/// Parses the sheet and prints how many rows of each kind it has.
///
/// # Errors
///
/// Returns [`CommandFailure::InvalidSheet`] with every finding, or another failure if the
/// command line is invalid or the file can't be read.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let path = input.single_argument("FILE")?;
    let bytes = read_bytes(path)?;
    match read_sheet(&bytes) {
        Ok(sheet) => {
            println!(
                "valid: {} customers, {} services, {} trainers, {} keys",
                sheet.customers.len(),
                sheet.services.len(),
                sheet.trainers.len(),
                sheet.keys.len()
            );
            Ok(())
        }
        Err(findings) => {
            let findings = findings.iter().map(ToString::to_string).collect();
            Err(CommandFailure::InvalidSheet(findings))
        }
    }
}
