//! Reads the settings from flags, environment variables and defaults, in this order of
//! precedence.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use getopts::Matches;
use getopts::Options;
use thiserror::Error;

use crate::settings::DaemonConfig;
use crate::settings::LogFormat;
use crate::settings::LogLevel;
use crate::settings::SecretKey;
use bergamotlane_policy::finding::Finding;

/// Shortest key that a key file may contain, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Declaration of a setting.
struct SettingSpec {
    /// Name of the flag, without dashes.
    flag: &'static str,
    /// Environment variable that is read if the flag is missing.
    variable: &'static str,
    /// Value if neither is set; empty for a setting without a default.
    default: &'static str,
    /// Placeholder of the value in the help text.
    hint: &'static str,
    help: &'static str,
}

const fn spec(
    flag: &'static str,
    variable: &'static str,
    default: &'static str,
    hint: &'static str,
    help: &'static str,
) -> SettingSpec {
    SettingSpec {
        flag,
        variable,
        default,
        hint,
        help,
    }
}

const SETTINGS: [SettingSpec; 20] = [
    spec(
        "name",
        "BERGAMOTLANE_NAME",
        "",
        "NAME",
        "name of this instance, unique in the cluster",
    ),
    spec(
        "zone",
        "BERGAMOTLANE_ZONE",
        "",
        "ZONE",
        "availability zone of this instance",
    ),
    spec(
        "data",
        "BERGAMOTLANE_DATA",
        "",
        "DIR",
        "data folder; without one the instance never votes",
    ),
    spec(
        "peers",
        "BERGAMOTLANE_PEERS",
        "",
        "IP:PORT",
        "address for other daemons, as they reach it",
    ),
    spec(
        "seeds",
        "BERGAMOTLANE_SEEDS",
        "",
        "IP:PORT,...",
        "peer addresses of some daemons to start from",
    ),
    spec(
        "callers",
        "BERGAMOTLANE_CALLERS",
        "",
        "IP:PORT",
        "address for callers and trainers",
    ),
    spec(
        "targets",
        "BERGAMOTLANE_TARGETS",
        "",
        "IP:PORT",
        "address for targets",
    ),
    spec(
        "operators",
        "BERGAMOTLANE_OPERATORS",
        "",
        "IP:PORT",
        "address for operators, metrics and health",
    ),
    spec(
        "cluster-key-file",
        "BERGAMOTLANE_CLUSTER_KEY_FILE",
        "",
        "FILE",
        "key that all daemons share",
    ),
    spec(
        "operator-key-file",
        "BERGAMOTLANE_OPERATOR_KEY_FILE",
        "",
        "FILE",
        "key that operators send",
    ),
    spec(
        "founder",
        "BERGAMOTLANE_FOUNDER",
        "",
        "NAME",
        "instance that bootstraps the group at the first start",
    ),
    spec(
        "voters",
        "BERGAMOTLANE_VOTERS",
        "3",
        "N",
        "voters that the group keeps: 1, 3 or 5",
    ),
    spec(
        "voter-lost-ms",
        "BERGAMOTLANE_VOTER_LOST_MS",
        "180000",
        "MS",
        "time without contact after which a voter is replaced",
    ),
    spec(
        "platform",
        "BERGAMOTLANE_PLATFORM",
        "",
        "IP:PORT",
        "platform that gets orders and usage reports",
    ),
    spec(
        "window-ms",
        "BERGAMOTLANE_WINDOW_MS",
        "60000",
        "MS",
        "length of a usage window",
    ),
    spec(
        "shrink-ms",
        "BERGAMOTLANE_SHRINK_MS",
        "60000",
        "MS",
        "time of lower demand before targets are released",
    ),
    spec(
        "drain-ms",
        "BERGAMOTLANE_DRAIN_MS",
        "2000",
        "MS",
        "time for load balancers to see that it isn't ready",
    ),
    spec(
        "log-format",
        "BERGAMOTLANE_LOG_FORMAT",
        "text",
        "FORMAT",
        "text or json",
    ),
    spec(
        "log-level",
        "BERGAMOTLANE_LOG_LEVEL",
        "info",
        "LEVEL",
        "error, warn, info or debug",
    ),
    spec(
        "threads",
        "BERGAMOTLANE_THREADS",
        "2",
        "N",
        "threads that handle traffic",
    ),
];

/// Action that the command line asks for.
#[derive(Debug)]
pub enum ConfigRequest {
    /// Run the daemon with these settings.
    Run(Box<DaemonConfig>),
    /// Report that the settings are valid, and exit.
    Check,
    /// Print a text and exit.
    Print(String),
}

/// Why the settings can't be used.
#[derive(Debug, Error)]
#[error("{} invalid settings", findings.len())]
pub struct ConfigError {
    /// All faults, sorted by setting.
    pub findings: Vec<Finding>,
}

/// Reads and validates all settings; `arguments` are those after the program name.
///
/// # Errors
///
/// Returns the faults of all settings at once, sorted by setting.
pub fn read_config(arguments: &[String]) -> Result<ConfigRequest, ConfigError> {
    let options = build_options();
    let matches = options.parse(arguments).map_err(|error| ConfigError {
        findings: vec![Finding::whole(error.to_string())],
    })?;
    if matches.opt_present("help") {
        let brief = "bergamotlaned: daemon of the bergamotlane rollout service\n\n\
            Usage: bergamotlaned [options]\n\n\
            Each option may come from the environment: --name from BERGAMOTLANE_NAME, and so on.";
        return Ok(ConfigRequest::Print(options.usage(brief)));
    }
    if matches.opt_present("version") {
        let text = format!("bergamotlaned {}", env!("CARGO_PKG_VERSION"));
        return Ok(ConfigRequest::Print(text));
    }
    let mut reader = SettingReader {
        matches: &matches,
        findings: Vec::new(),
    };
    let config = reader.read();
    for argument in &matches.free {
        let finding = Finding::field(argument.as_str(), "unexpected argument");
        reader.findings.push(finding);
    }
    let mut findings = reader.findings;
    findings.sort();
    match config {
        Some(_) if findings.is_empty() && matches.opt_present("check") => Ok(ConfigRequest::Check),
        Some(config) if findings.is_empty() => Ok(ConfigRequest::Run(Box::new(config))),
        _ => Err(ConfigError { findings }),
    }
}

fn build_options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optflag("", "check", "check the settings and exit");
    for setting in &SETTINGS {
        let help = match setting.default {
            "" => setting.help.to_owned(),
            default => format!("{} [{default}]", setting.help),
        };
        options.optopt("", setting.flag, &help, setting.hint);
    }
    options
}

/// Reads single settings and collects their faults.
struct SettingReader<'a> {
    matches: &'a Matches,
    findings: Vec<Finding>,
}

impl SettingReader<'_> {
    /// Returns the value of a setting, or an empty text if it isn't set and has no default.
    fn text(&self, flag: &str) -> String {
        let setting = SETTINGS.iter().find(|setting| setting.flag == flag);
        let variable = setting.and_then(|setting| env::var(setting.variable).ok());
        let default = setting.map(|setting| setting.default.to_owned());
        self.matches
            .opt_str(flag)
            .or(variable)
            .or(default)
            .unwrap_or_default()
    }

    fn add_finding(&mut self, flag: &str, message: impl Into<String>) {
        let finding = Finding::field(format!("--{flag}"), message);
        self.findings.push(finding);
    }

    fn required(&mut self, flag: &str) -> String {
        let text = self.text(flag);
        if text.is_empty() {
            self.add_finding(flag, "is required");
        }
        text
    }

    fn address(&mut self, flag: &str) -> Option<SocketAddr> {
        let text = self.required(flag);
        if text.is_empty() {
            return None;
        }
        self.parse_address(flag, &text)
    }

    fn parse_address(&mut self, flag: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.add_finding(flag, format!("{text:?} is not an IP address and port"));
        }
        address
    }

    /// Returns a number from `low` to `high`, both included; an invalid one gives `low` and a
    /// finding.
    fn number(&mut self, flag: &str, low: u64, high: u64) -> u64 {
        let number = self.text(flag).parse().ok();
        match number.filter(|number| (low..=high).contains(number)) {
            Some(number) => number,
            None => {
                self.add_finding(flag, format!("must be a number from {low} to {high}"));
                low
            }
        }
    }

    /// Returns the key in the file that a setting names.
    fn key(&mut self, flag: &str) -> Option<SecretKey> {
        let path = self.required(flag);
        if path.is_empty() {
            return None;
        }
        match fs::read(&path) {
            Ok(key) => {
                let key = SecretKey::new(&key);
                if key.bytes().len() < MIN_KEY_BYTES {
                    let message = format!("{path} must hold at least {MIN_KEY_BYTES} bytes");
                    self.add_finding(flag, message);
                }
                Some(key)
            }
            Err(error) => {
                self.add_finding(flag, format!("could not read {path}: {error}"));
                None
            }
        }
    }

    /// Returns the value that belongs to the name given for a setting.
    fn choice<T: Copy>(&mut self, flag: &str, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text(flag);
        let found = choices.iter().find(|(name, _)| *name == text);
        if found.is_none() {
            let known: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
            self.add_finding(flag, format!("must be one of {}", known.join(", ")));
        }
        found.map(|(_, value)| *value)
    }

    /// Reads all settings; returns `None` if one without a usable default is invalid.
    fn read(&mut self) -> Option<DaemonConfig> {
        let name = self.required("name");
        let zone = self.required("zone");
        let data = self.text("data");
        let peers = self.address("peers");
        let seeds = self.text("seeds");
        let seeds = seeds.split(',').filter(|seed| !seed.is_empty());
        let seeds = seeds
            .filter_map(|seed| self.parse_address("seeds", seed.trim()))
            .collect();
        let callers = self.address("callers");
        let targets = self.address("targets");
        let operators = self.address("operators");
        let cluster_key = self.key("cluster-key-file");
        let operator_key = self.key("operator-key-file");
        let platform = self.text("platform");
        let platform = match platform.is_empty() {
            true => None,
            false => self.parse_address("platform", &platform),
        };
        let voters = self.number("voters", 1, 5);
        if voters.is_multiple_of(2) {
            self.add_finding("voters", "must be 1, 3 or 5");
        }
        let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
        let levels = [
            ("error", LogLevel::Error),
            ("warn", LogLevel::Warn),
            ("info", LogLevel::Info),
            ("debug", LogLevel::Debug),
        ];
        let log_format = self.choice("log-format", &formats);
        let log_level = self.choice("log-level", &levels);
        let voter_lost_ms = self.number("voter-lost-ms", 2_000, 86_400_000);
        let window_ms = self.number("window-ms", 500, 86_400_000);
        let shrink_ms = self.number("shrink-ms", 0, 86_400_000);
        let drain_ms = self.number("drain-ms", 0, 600_000);
        let threads = self.number("threads", 1, 64);
        Some(DaemonConfig {
            name,
            zone,
            data: (!data.is_empty()).then(|| PathBuf::from(data)),
            peers: peers?,
            seeds,
            callers: callers?,
            targets: targets?,
            operators: operators?,
            cluster_key: cluster_key?,
            operator_key: operator_key?,
            founder: self.text("founder"),
            voters: voters as usize,
            voter_lost_ms,
            platform,
            window_ms,
            shrink_ms,
            drain_ms,
            log_format: log_format?,
            log_level: log_level?,
            threads: threads as usize,
        })
    }
}
