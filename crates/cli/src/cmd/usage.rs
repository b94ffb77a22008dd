//! `usage`: prints the usage windows that one daemon knows.

use super::CommandInput;
use super::print_json;
use crate::failure::CommandFailure;
use crate::table::render;
use bergamotlane_wire::http::UsageWindowBody;

/// Prints one row for each window, customer and service, or the whole answer with `--json`.
///
/// # Errors
///
/// Returns a failure if the key can't be read or the request fails.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let windows: Vec<UsageWindowBody> = input.client()?.get("/v1/usage")?;
    if input.wants_json() {
        print_json(&windows);
        return Ok(());
    }
    let mut rows = Vec::new();
    for window in &windows {
        for line in &window.lines {
            rows.push([
                window.window.to_string(),
                window.state.clone(),
                line.customer.clone(),
                line.service.clone(),
                line.requests.to_string(),
                line.tokens.to_string(),
                line.samples.to_string(),
                line.uncharged.to_string(),
            ]);
        }
    }
    let header = [
        "WINDOW",
        "STATE",
        "CUSTOMER",
        "SERVICE",
        "REQUESTS",
        "TOKENS",
        "SAMPLES",
        "UNCHARGED",
    ];
    print!("{}", render(header, &rows));
    Ok(())
}
