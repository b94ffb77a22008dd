//! `key grant`: grants a key. Only its hash is sent; the key itself never leaves this
//! machine.

use reqwest::Method;

use super::CommandInput;
use super::print_accepted;
use crate::config::read_text;
use crate::failure::CommandFailure;
use bergamotlane_policy::plan::KeyHash;
use bergamotlane_wire::http::GrantBody;

/// Length of a generated key in random bytes; it is printed as twice as many hex digits.
const KEY_BYTES: usize = 32;

/// Grants the key in the file that `--key-file` names. Without the flag, generates a key
/// and prints it.
///
/// # Errors
///
/// Returns a failure if the command line is invalid, a file can't be read or the change
/// fails.
pub fn run(input: &CommandInput) -> Result<(), CommandFailure> {
    let id = input.single_argument("ID")?;
    let required_option = |flag: &str| {
        let value = input.matches.opt_str(flag);
        value.ok_or_else(|| CommandFailure::Usage(format!("--{flag} is required")))
    };
    let role = required_option("role")?;
    let owner = required_option("owner")?;
    let options = input.change_options()?;
    let (key, is_generated) = match input.matches.opt_str("key-file") {
        Some(path) => (read_text(&path)?.trim().to_owned(), false),
        None => (generate_key(), true),
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
    if is_generated {
        println!("{key}");
    }
    Ok(())
}

fn generate_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
