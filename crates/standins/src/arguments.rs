//! Command line parsing of the stand-ins.

use std::net::SocketAddr;

use getopts::Matches;
use getopts::Options;

/// Parsed options of a stand-in.
pub struct StandinArguments {
    matches: Matches,
}

impl StandinArguments {
    /// Parses the arguments of the process; `names` are the options that are accepted, all
    /// of the form `--name VALUE`.
    ///
    /// # Panics
    ///
    /// Panics with the parser's message if the arguments are invalid.
    pub fn parse(names: &[&str]) -> Self {
        let mut options = Options::new();
        for name in names {
            options.optopt("", name, "", "VALUE");
        }
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let matches = options.parse(arguments);
        Self {
            matches: matches.expect("arguments are valid"),
        }
    }

    /// Returns the value of an option, or `default` if the option is absent.
    pub fn text(&self, name: &str, default: &str) -> String {
        let value = self.matches.opt_str(name);
        value.unwrap_or_else(|| default.to_owned())
    }

    /// Returns the value of a numeric option, or `default` if the option is absent.
    ///
    /// # Panics
    ///
    /// Panics if the value is not an unsigned integer.
    pub fn number(&self, name: &str, default: u64) -> u64 {
        let value = self.matches.opt_str(name);
        value.map_or(default, |it| {
            it.parse().expect("option is an unsigned integer")
        })
    }

    /// Returns the value of a required option of the form `IP:PORT`.
    ///
    /// # Panics
    ///
    /// Panics if the option is absent or not an address.
    pub fn address(&self, name: &str) -> SocketAddr {
        let text = self.text(name, "");
        text.parse().expect("option is IP:PORT")
    }

    /// Returns the value of an option of the form `IP:PORT,...`; the list is empty if the
    /// option is absent.
    ///
    /// # Panics
    ///
    /// Panics if an item is not an address.
    pub fn addresses(&self, name: &str) -> Vec<SocketAddr> {
        let text = self.text(name, "");
        let items = text.split(',').filter(|it| !it.is_empty());
        items
            .map(|it| it.parse().expect("option is IP:PORT,..."))
            .collect()
    }
}
