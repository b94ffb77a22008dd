//! `target list`: prints the targets that one daemon knows.

use super::CommandInput;
use super::print_json;
use crate::failure::CommandFailure;
use crate::table::render;
use bergamotlane_wire::http::TargetBody;

/// Prints one row for each target, or the whole answer with `--json`.
///
/// # Errors
///
/// Returns a failure if the key can't be read or the request fails.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let targets: Vec<TargetBody> = input.client()?.get("/v1/targets")?;
    if input.wants_json() {
        print_json(&targets);
        return Ok(());
    }
    let rows: Vec<[String; 8]> = targets
        .into_iter()
        .map(|target| {
            [
                target.service,
                target.name,
                target.zone,
                target.class,
                target.state,
                target.weight_version.to_string(),
                target.load.to_string(),
                target.granted.to_string(),
            ]
        })
        .collect();
    let header = [
        "SERVICE", "NAME", "ZONE", "CLASS", "STATE", "VERSION", "LOAD", "GRANTED",
    ];
    print!("{}", render(header, &rows));
    Ok(())
}
