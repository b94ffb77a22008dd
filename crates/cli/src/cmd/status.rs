//! `status`: state of the group as the asked daemon sees it.

use super::CommandInput;
use super::print_json;
use crate::failure::CommandFailure;
use crate::table::render;
use bergamotlane_wire::http::StatusBody;

/// Prints the state.
///
/// # Errors
///
/// Returns why it can't be had.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let status: StatusBody = input.client()?.get("/v1/status")?;
    if input.json() {
        print_json(&status);
        return Ok(());
    }
    let voters = status.members.iter().filter(|it| it.role == "voter");
    let voters: Vec<&str> = voters.map(|it| it.name.as_str()).collect();
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
