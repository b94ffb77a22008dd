//! Command lines of the stand-ins.

use std::net::SocketAddr;

use getopts::Matches;
use getopts::Options;

/// Parsed options of a stand-in.
pub struct StandinArguments {
    matches: Matches,
}

impl StandinArguments {
    /// Parses the process's arguments; `names` are the options taken.
    ///
    /// # Panics
    ///
    /// Panics with the parser's message if the arguments are wrong.
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

    /// Returns a text option or its default.
    pub fn text(&self, name: &str, default: &str) -> String {
        let value = self.matches.opt_str(name);
        value.unwrap_or_else(|| default.to_owned())
    }

    /// Returns a number option or its default.
    ///
    /// # Panics
    ///
    /// Panics if the value is no number.
    pub fn number(&self, name: &str, default: u64) -> u64 {
        let value = self.matches.opt_str(name);
        value.map_or(default, |it| it.parse().expect("option is a number"))
    }

    /// Returns an address option.
    ///
    /// # Panics
    ///
    /// Panics if the value is no address.
    pub fn address(&self, name: &str) -> SocketAddr {
        let text = self.text(name, "");
        text.parse().expect("option is IP:PORT")
    }

    /// Returns a list of addresses.
    ///
    /// # Panics
    ///
    /// Panics if an item is no address.
    pub fn addresses(&self, name: &str) -> Vec<SocketAddr> {
        let text = self.text(name, "");
        let items = text.split(',').filter(|it| !it.is_empty());
        items
            .map(|it| it.parse().expect("option is IP:PORT,..."))
            .collect()
    }
}
