//! `instance list`: prints the live instances and the members of the consensus group.

use super::CommandInput;
use super::print_json;
use crate::failure::CommandFailure;
use crate::table::render;
use bergamotlane_wire::http::StatusBody;

/// Prints one row for each live instance, and one in state `silent` for each member of the
/// consensus group that isn't among them.
///
/// # Errors
///
/// Returns a failure if the key can't be read or the request fails.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let status: StatusBody = input.client()?.get("/v1/status")?;
    if input.wants_json() {
        print_json(&(&status.instances, &status.members));
        return Ok(());
    }
    let role = |name: &str| {
        let member = status.members.iter().find(|member| member.name == name);
        member.map_or("-", |member| member.role.as_str()).to_owned()
    };
    let mut rows: Vec<[String; 5]> = status
        .instances
        .iter()
        .map(|instance| {
            let disk = if instance.disk { "yes" } else { "no" };
            let state = if instance.draining {
                "draining"
            } else {
                "live"
            };
            [
                instance.name.clone(),
                instance.zone.clone(),
                disk.to_owned(),
                role(&instance.name),
                state.to_owned(),
            ]
        })
        .collect();
    let is_live = |name: &str| status.instances.iter().any(|other| other.name == name);
    let silent = status
        .members
        .iter()
        .filter(|member| !is_live(&member.name));
    // Only instances with a disk can be members.
    rows.extend(silent.map(|member| {
        let (disk, state) = ("yes".to_owned(), "silent".to_owned());
        [
            member.name.clone(),
            member.zone.clone(),
            disk,
            member.role.clone(),
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
