//! Connections between daemons.
//!
//! Each connection is a WebSocket that starts with a mutual handshake. A [`PeerHub`] dials the
//! peers, accepts their connections and routes frames by process run.

mod handshake;
mod hub;
mod link;

#[cfg(test)]
mod tests;

pub use handshake::LocalHello;
pub use hub::PeerEvent;
pub use hub::PeerHub;
pub use hub::PeerObserver;
