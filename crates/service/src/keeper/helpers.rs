//! Helpers: entries through which another entry may send requests while it has no path to the
//! targets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::LinkFrame;
use crate::link::LinkId;
use bergamotlane_coordination::clock::ClockTime;

/// Number of helpers that each entry is told of.
const HELPER_COUNT: usize = 12;

/// Least time between two updates of the helpers, in milliseconds.
const HELPERS_INTERVAL_MS: u64 = 500;

/// Entries that can be helpers, by their links.
type LinkedEntries = BTreeMap<LinkId, SocketAddr>;

/// What linked entries were told of helpers.
#[derive(Debug, Default)]
pub(super) struct SentHelpers {
    entries: LinkedEntries,
    due: ClockTime,
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Tells each entry its helpers, if the linked entries have changed.
    pub(super) fn update_helpers(&mut self, time: ClockTime) {
        let links = self.links.iter();
        let entries: LinkedEntries = links
            .filter_map(|(link, (hello, _))| Some((*link, hello.relay?)))
            .collect();
        let Some(lead) = self.lead.as_mut().filter(|it| time >= it.helpers.due) else {
            return;
        };
        if lead.helpers.entries == entries {
            return;
        }
        lead.helpers.due = time + HELPERS_INTERVAL_MS;
        for (link, helpers) in assign_helpers(&entries) {
            self.hub.send(link, &LinkFrame::Helpers(helpers));
        }
        lead.helpers.entries = entries;
    }
}

/// Returns the helpers of each entry: those that follow it in an order in which zones are mixed.
pub(super) fn assign_helpers(entries: &LinkedEntries) -> Vec<(LinkId, BTreeSet<SocketAddr>)> {
    let mut order: Vec<(LinkId, SocketAddr)> =
        entries.iter().map(|(link, it)| (*link, *it)).collect();
    order.sort_by_cached_key(|(_, address)| {
        *blake3::hash(address.to_string().as_bytes()).as_bytes()
    });
    let places = order.iter().enumerate();
    places
        .map(|(place, (link, own))| {
            let others = order.iter().cycle().skip(place + 1).take(order.len() - 1);
            let addresses = others.map(|(_, address)| *address).filter(|it| it != own);
            (*link, addresses.take(HELPER_COUNT).collect())
        })
        .collect()
}
