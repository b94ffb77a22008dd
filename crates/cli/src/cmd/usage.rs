//! `usage`: usage windows.

use super::CommandInput;
use super::print_json;
use crate::failure::CommandFailure;
use crate::table::render;
use bergamotlane_wire::http::UsageWindowBody;

/// Prints the windows.
///
/// # Errors
///
/// Returns why they can't be had.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let windows: Vec<UsageWindowBody> = input.client()?.get("/v1/usage")?;
    if input.json() {
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
