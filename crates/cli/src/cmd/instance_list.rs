//! `instance list`: lists instances, voters and learners.

use super::CommandInput;
use super::print_json;
use crate::failure::CommandFailure;
use crate::table::render;
use bergamotlane_wire::http::StatusBody;

/// Prints the instances.
///
/// # Errors
///
/// Returns why they can't be had.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let status: StatusBody = input.client()?.get("/v1/status")?;
    if input.json() {
        print_json(&(&status.instances, &status.members));
        return Ok(());
    }
    let role = |name: &str| {
        let member = status.members.iter().find(|it| it.name == name);
        member.map_or("-", |it| it.role.as_str()).to_owned()
    };
    let mut rows: Vec<[String; 5]> = status
        .instances
        .iter()
        .map(|it| {
            let disk = if it.disk { "yes" } else { "no" };
            let state = if it.draining { "draining" } else { "live" };
            [
                it.name.clone(),
                it.zone.clone(),
                disk.to_owned(),
                role(&it.name),
                state.to_owned(),
            ]
        })
        .collect();
    let silent = status
        .members
        .iter()
        .filter(|member| !status.instances.iter().any(|it| it.name == member.name));
    rows.extend(silent.map(|it| {
        let (disk, state) = ("yes".to_owned(), "silent".to_owned());
        [
            it.name.clone(),
            it.zone.clone(),
            disk,
            it.role.clone(),
            state,
        ]
    }));
    rows.sort();
    print!(
        "{}",
        render(["NAME", "ZONE", "DISK", "MEMBER", "STATE"], &rows)
    );
    Ok(())
}
