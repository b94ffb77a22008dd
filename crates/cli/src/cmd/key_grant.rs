//! `key grant`: grants a key; only its hash leaves this machine.

use reqwest::Method;

use super::CommandInput;
use super::print_accepted;
use crate::config::read_text;
use crate::failure::CommandFailure;
use bergamotlane_policy::plan::KeyHash;
use bergamotlane_wire::http::GrantBody;

/// Bytes of randomness in a new key.
const KEY_BYTES: usize = 32;

/// Grants the key in a file, or a new one that is printed.
///
/// # Errors
///
/// Returns why it was not granted.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let id = input.only("ID")?;
    let needed = |flag: &str| {
        let value = input.matches.opt_str(flag);
        value.ok_or_else(|| CommandFailure::Usage(format!("--{flag} is required")))
    };
    let role = needed("role")?;
    let owner = needed("owner")?;
    let options = input.change_options()?;
    let (key, fresh) = match input.matches.opt_str("key-file") {
        Some(path) => (read_text(&path)?.trim().to_owned(), false),
        None => (new_key(), true),
    };
    let body = GrantBody {
        id: id.to_owned(),
        role,
        owner,
        hash: KeyHash::of(key.as_bytes()).to_hex(),
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let client = input.client()?;
    let accepted = client.change(Method::POST, "/v1/keys", body, options)?;
    print_accepted(input, &accepted);
    if fresh {
        println!("{key}");
    }
    Ok(())
}

fn new_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
