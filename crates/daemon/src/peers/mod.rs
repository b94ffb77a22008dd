//! Connections between daemons: handshake, links, and the hub that keeps them.

mod handshake;
mod hub;
mod link;

#[cfg(test)]
mod tests;

pub use handshake::LocalHello;
pub use hub::PeerEvent;
pub use hub::PeerHub;
pub use hub::PeerObserver;
