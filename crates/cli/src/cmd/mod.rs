//! Command line parser and subcommands, one module for each subcommand.

mod dump;
mod instance_add;
mod instance_list;
mod instance_remove;
mod key_grant;
mod key_withdraw;
mod sheet_apply;
mod sheet_check;
mod sheet_export;
mod status;
mod target_list;
mod usage;
mod zone_pull;
mod zone_restore;

use getopts::Matches;
use getopts::Options;

use crate::client::ChangeOptions;
use crate::client::OperatorClient;
use crate::config;
use crate::failure::CommandFailure;
use bergamotlane_wire::http::AcceptedBody;

const HELP: &str = "bergamotlane: command line for operators

Usage: bergamotlane [options] COMMAND

Commands:
  sheet check FILE          check a sheet without a daemon
  sheet apply FILE          replace the plan with a sheet
  sheet export              print the plan as a sheet
  key grant ID              grant a key (--role, --owner); prints the new key
  key withdraw ID           withdraw a key permanently
  zone pull ZONE            take a zone out of service
  zone restore ZONE         put a zone back into service
  target list               list targets
  instance list             list instances and voters
  instance add NAME         add a live instance with a disk to the group
  instance remove NAME      remove a member from the group
  status                    state of the group
  usage                     usage windows
  dump                      complete state of the daemon, as JSON

Exit status: 0 done, 1 refused or invalid sheet, 2 wrong usage or file,
3 daemon not reachable, 4 accepted but not in force everywhere in time.";

/// Parsed command line that is passed to a subcommand.
pub struct CommandInput {
    /// Parsed flags.
    pub matches: Matches,
    /// Positional arguments after the words that name the command.
    pub arguments: Vec<String>,
}

impl CommandInput {
    /// Returns the positional argument of a command that takes exactly one; `name` is its
    /// name in the error message.
    ///
    /// # Errors
    ///
    /// Returns [`CommandFailure::Usage`] if there isn't exactly one.
    pub fn single_argument(&self, name: &str) -> Result<&str, CommandFailure> {
        match self.arguments.as_slice() {
            [argument] => Ok(argument),
            _ => Err(CommandFailure::Usage(format!("expected one {name}"))),
        }
    }

    /// Returns whether `--json` is set.
    pub fn wants_json(&self) -> bool {
        self.matches.opt_present("json")
    }

    /// Creates a client from `--server` and `--operator-key-file` or their environment
    /// variables.
    ///
    /// # Errors
    ///
    /// Returns a failure if the key can't be read or the client can't be created.
    pub fn client(&self) -> Result<OperatorClient, CommandFailure> {
        let key = config::read_operator_key(self.matches.opt_str("operator-key-file"))?;
        OperatorClient::new(config::server_address(self.matches.opt_str("server")), key)
    }

    /// Returns the values of `--number` and `--wait`.
    ///
    /// # Errors
    ///
    /// Returns [`CommandFailure::Usage`] if a value is invalid.
    pub fn change_options(&self) -> Result<ChangeOptions, CommandFailure> {
        let number = match self.matches.opt_str("number") {
            Some(text) => Some(text.parse().map_err(|_| {
                CommandFailure::Usage(format!("--number: {text:?} is not a number"))
            })?),
            None => None,
        };
        let wait = match self.matches.opt_str("wait").as_deref() {
            None => false,
            Some("in-force") => true,
            Some(_) => {
                let message = "--wait: must be in-force".to_owned();
                return Err(CommandFailure::Usage(message));
            }
        };
        Ok(ChangeOptions { number, wait })
    }
}

/// Entry point of a subcommand.
type CommandFn = fn(&CommandInput) -> Result<(), CommandFailure>;

fn build_options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt("", "server", "operators' address of a daemon", "IP:PORT");
    options.optopt(
        "",
        "operator-key-file",
        "file with the operators' key",
        "FILE",
    );
    options.optflag("", "json", "print JSON");
    options.optopt(
        "",
        "number",
        "number of a change; the next one if absent",
        "N",
    );
    options.optopt(
        "",
        "wait",
        "wait until a change is in force everywhere",
        "in-force",
    );
    options.optopt(
        "",
        "role",
        "role of a key: caller, target or trainer",
        "ROLE",
    );
    options.optopt("", "owner", "customer, service or trainer of a key", "ID");
    options.optopt("", "key-file", "file with the key to grant", "FILE");
    options
}

/// Parses the arguments, without the program name, and runs the command.
///
/// # Errors
///
/// Returns [`CommandFailure::Usage`] if the arguments are invalid, otherwise the failure of
/// the command.
pub fn run(arguments: &[String]) -> Result<(), CommandFailure> {
    let options = build_options();
    let matches = options
        .parse(arguments)
        .map_err(|error| CommandFailure::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        println!("{}", options.usage(HELP));
        return Ok(());
    }
    if matches.opt_present("version") {
        println!("bergamotlane {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let words: Vec<String> = matches.free.clone();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (run, word_count): (CommandFn, usize) = match words.as_slice() {
        ["sheet", "check", ..] => (sheet_check::run, 2),
        ["sheet", "apply", ..] => (sheet_apply::run, 2),
        ["sheet", "export", ..] => (sheet_export::run, 2),
        ["key", "grant", ..] => (key_grant::run, 2),
        ["key", "withdraw", ..] => (key_withdraw::run, 2),
        ["zone", "pull", ..] => (zone_pull::run, 2),
        ["zone", "restore", ..] => (zone_restore::run, 2),
        ["target", "list", ..] => (target_list::run, 2),
        ["instance", "list", ..] => (instance_list::run, 2),
        ["instance", "add", ..] => (instance_add::run, 2),
        ["instance", "remove", ..] => (instance_remove::run, 2),
        ["status", ..] => (status::run, 1),
        ["usage", ..] => (usage::run, 1),
        ["dump", ..] => (dump::run, 1),
        _ => {
            return Err(CommandFailure::Usage(
                "unknown command; see --help".to_owned(),
            ));
        }
    };
    let arguments = words[word_count..]
        .iter()
        .map(|word| (*word).to_owned())
        .collect();
    run(&CommandInput { matches, arguments })
}

/// Prints a value as indented JSON.
fn print_json<T: serde::Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("bergamotlane: could not encode the output as JSON: {error}"),
    }
}

/// Prints the number of an accepted change and, after `--wait`, that it is in force.
fn print_accepted(input: &CommandInput, accepted: &AcceptedBody) {
    if input.wants_json() {
        print_json(accepted);
        return;
    }
    let suffix = match accepted.in_force {
        Some(true) => ", in force everywhere",
        _ => "",
    };
    println!("accepted as number {}{suffix}", accepted.number);
}
