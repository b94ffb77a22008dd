//! `target list`: targets as the asked daemon knows them.

use super::CommandInput;
use super::print_json;
use crate::failure::CommandFailure;
use crate::table::render;
use bergamotlane_wire::http::TargetBody;

/// Prints the targets.
///
/// # Errors
///
/// Returns why they can't be had.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let targets: Vec<TargetBody> = input.client()?.get("/v1/targets")?;
    if input.json() {
        print_json(&targets);
        return Ok(());
    }
    let rows: Vec<[String; 8]> = targets
        .into_iter()
        .map(|it| {
            [
                it.service,
                it.name,
                it.zone,
                it.class,
                it.state,
                it.weight_version.to_string(),
                it.load.to_string(),
                it.granted.to_string(),
            ]
        })
        .collect();
    let header = [
        "SERVICE", "NAME", "ZONE", "CLASS", "STATE", "VERSION", "LOAD", "GRANTED",
    ];
    print!("{}", render(header, &rows));
    Ok(())
}
