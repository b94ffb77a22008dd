//! `sheet check`: checks a sheet without a daemon.

use super::CommandInput;
use crate::config::read_bytes;
use crate::failure::CommandFailure;
use bergamotlane_policy::plan::read_sheet;

/// Checks the sheet and prints every finding.
///
/// # Errors
///
/// Returns the findings, or that the file can't be read.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let path = input.only("FILE")?;
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
            Err(CommandFailure::Faults(findings))
        }
    }
}
