//! `status`: prints the state of the consensus group as one daemon sees it.

use super::CommandInput;
use super::print_json;
use crate::failure::CommandFailure;
use crate::table::render;
use bergamotlane_wire::http::StatusBody;

/// Prints one row for each property, or the whole answer with `--json`.
///
/// # Errors
///
/// Returns a failure if the key can't be read or the request fails.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let status: StatusBody = input.client()?.get("/v1/status")?;
    if input.wants_json() {
        print_json(&status);
        return Ok(());
    }
    let voters = status
        .members
        .iter()
        .filter(|member| member.role == "voter");
    let voters: Vec<&str> = voters.map(|voter| voter.name.as_str()).collect();
    let rows = [
        ["instance", &status.instance],
        ["zone", &status.zone],
        ["cluster", status.cluster.as_deref().unwrap_or("unknown")],
        ["role", &status.role],
        ["leader", status.leader.as_deref().unwrap_or("unknown")],
        ["term", &status.term.to_string()],
        ["formed", yes_no(status.formed)],
        ["confirmed", yes_no(status.fresh)],
        ["applied", &status.applied.to_string()],
        ["number", &status.number.to_string()],
        ["pulled zones", &status.pulled.join(", ")],
        ["voters", &voters.join(", ")],
        ["instances", &status.instances.len().to_string()],
    ]
    .map(|row| row.map(str::to_owned));
    print!("{}", render(["WHAT", "VALUE"], &rows));
    Ok(())
}

fn yes_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}
