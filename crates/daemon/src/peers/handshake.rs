//! Mutual handshake of two daemons.
//!
//! Both sides send a hello with a random nonce, check the other side's hello, and then prove
//! that they have the cluster key with a keyed hash over both hellos.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use futures_util::Sink;
use futures_util::SinkExt;
use futures_util::Stream;
use futures_util::StreamExt;
use serde_bytes::ByteBuf;
use thiserror::Error;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::Message;

use crate::settings::SecretKey;
use bergamotlane_wire::codec;
use bergamotlane_wire::codec::WireError;
use bergamotlane_wire::peer::HelloFrame;
use bergamotlane_wire::peer::PROTOCOL_VERSION;
use bergamotlane_wire::peer::PeerFrame;

/// Key derivation context of the key that authenticates the proofs.
const PROOF_CONTEXT: &str = "bergamotlane 2026-12 peer handshake proof";

/// Reason why a handshake failed or a connection ended.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The TCP connection or the WebSocket protocol failed.
    #[error("transport failed: {0}")]
    Transport(#[from] tungstenite::Error),
    /// The connection was closed, or timed out in either direction.
    #[error("connection closed by the peer or timed out")]
    Closed,
    /// A frame could not be decoded.
    #[error("frame could not be decoded: {0}")]
    Frame(#[from] WireError),
    /// Another frame arrived in place of the hello or of the proof.
    #[error("peer sent another frame where a hello or a proof was expected")]
    Unexpected,
    /// The other side uses another protocol version.
    #[error("peer uses protocol version {theirs}, this instance uses {PROTOCOL_VERSION}")]
    Version {
        /// Protocol version of the other side.
        theirs: u32,
    },
    /// The other side belongs to another cluster.
    #[error("{name} belongs to cluster {theirs:016x}, this instance to {ours:016x}")]
    Cluster {
        /// Name of the other instance.
        name: String,
        /// Cluster ID of the other instance.
        theirs: u64,
        /// Cluster ID of this instance.
        ours: u64,
    },
    /// The proof of the other side was made with another cluster key.
    #[error("peer has another cluster key")]
    WrongKey,
    /// The other side is this process.
    #[error("peer is this process itself")]
    SelfConnection,
}

/// Identity and cluster key of this daemon, shared by all connections.
#[derive(Debug, Clone)]
pub struct LocalHello {
    hello: HelloFrame,
    /// Cluster ID, or zero while it is unknown.
    cluster: Arc<AtomicU64>,
    key: SecretKey,
}

impl LocalHello {
    /// Creates the identity from `hello`, whose nonce is replaced in each handshake.
    pub fn new(hello: HelloFrame, key: SecretKey) -> Self {
        let cluster = Arc::new(AtomicU64::new(hello.cluster.unwrap_or_default()));
        Self {
            hello,
            cluster,
            key,
        }
    }

    /// Sets the cluster ID that later handshakes send and check.
    pub fn set_cluster(&self, cluster: u64) {
        self.cluster.store(cluster, Ordering::Relaxed);
    }

    fn cluster(&self) -> Option<u64> {
        let cluster = self.cluster.load(Ordering::Relaxed);
        (cluster != 0).then_some(cluster)
    }

    /// Returns the hello of a new connection, with a random nonce.
    fn new_hello(&self) -> HelloFrame {
        HelloFrame {
            nonce: rand::random(),
            cluster: self.cluster(),
            ..self.hello.clone()
        }
    }

    /// Checks the protocol version, the process run and the cluster ID of the other side.
    fn check_hello(&self, theirs: &HelloFrame) -> Result<(), HandshakeError> {
        if theirs.version != PROTOCOL_VERSION {
            return Err(HandshakeError::Version {
                theirs: theirs.version,
            });
        }
        if theirs.run == self.hello.run {
            return Err(HandshakeError::SelfConnection);
        }
        match (self.cluster(), theirs.cluster) {
            (Some(ours), Some(cluster)) if ours != cluster => Err(HandshakeError::Cluster {
                name: theirs.name.clone(),
                theirs: cluster,
                ours,
            }),
            _ => Ok(()),
        }
    }

    /// Returns the proof that the sender of `prover` shows to the sender of `verifier`.
    fn proof(&self, prover: &HelloFrame, verifier: &HelloFrame) -> blake3::Hash {
        let key = blake3::derive_key(PROOF_CONTEXT, self.key.bytes());
        let both = codec::encode(&(prover, verifier));
        blake3::keyed_hash(&key, &both)
    }
}

/// Encodes a frame as a WebSocket message.
pub(super) fn to_message(frame: &PeerFrame) -> Message {
    Message::Binary(codec::encode(frame))
}

/// Reads the next frame, skipping the WebSocket's own control messages.
pub(super) async fn next_frame<S>(stream: &mut S) -> Result<PeerFrame, HandshakeError>
where
    S: Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    while let Some(message) = stream.next().await {
        match message? {
            Message::Binary(bytes) => return Ok(codec::decode(&bytes)?),
            Message::Close(_) => return Err(HandshakeError::Closed),
            _ => {}
        }
    }
    Err(HandshakeError::Closed)
}

/// Performs the handshake, which is the same on both sides, and returns the peer's hello.
///
/// # Errors
///
/// Returns the reason why the connection must be closed.
pub(super) async fn perform_handshake<S>(
    stream: &mut S,
    local: &LocalHello,
) -> Result<HelloFrame, HandshakeError>
where
    S: Stream<Item = Result<Message, tungstenite::Error>>
        + Sink<Message, Error = tungstenite::Error>
        + Unpin,
{
    let ours = local.new_hello();
    stream
        .send(to_message(&PeerFrame::Hello(ours.clone())))
        .await?;
    let PeerFrame::Hello(theirs) = next_frame(stream).await? else {
        return Err(HandshakeError::Unexpected);
    };
    local.check_hello(&theirs)?;
    let proof = local.proof(&ours, &theirs);
    let proof = ByteBuf::from(proof.as_bytes().as_slice());
    stream.send(to_message(&PeerFrame::Proof(proof))).await?;
    let PeerFrame::Proof(proof) = next_frame(stream).await? else {
        return Err(HandshakeError::Unexpected);
    };
    let expected = local.proof(&theirs, &ours);
    let given = <[u8; 32]>::try_from(proof.as_slice()).map_err(|_| HandshakeError::WrongKey)?;
    match expected == blake3::Hash::from_bytes(given) {
        true => Ok(theirs),
        false => Err(HandshakeError::WrongKey),
    }
}
