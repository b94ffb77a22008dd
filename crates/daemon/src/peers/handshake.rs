//! Handshake: both sides say who they are and prove that they have the cluster key.

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

/// Context of the key that proofs are made with.
const PROOF_CONTEXT: &str = "bergamotlane 2026-12 peer handshake proof";

/// Why a connection was closed.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The transport failed.
    #[error("transport failed: {0}")]
    Transport(#[from] tungstenite::Error),
    /// The other side closed the connection.
    #[error("closed by the other side")]
    Closed,
    /// A frame could not be read.
    #[error("bad frame: {0}")]
    Frame(#[from] WireError),
    /// A frame came out of turn.
    #[error("unexpected frame")]
    Unexpected,
    /// The other side speaks another version.
    #[error("protocol version {theirs} instead of {PROTOCOL_VERSION}")]
    Version {
        /// Its version.
        theirs: u32,
    },
    /// The other side belongs to another cluster.
    #[error("{name} belongs to cluster {theirs:016x}, this instance to {ours:016x}")]
    Cluster {
        /// Its name.
        name: String,
        /// Its cluster.
        theirs: u64,
        /// This instance's cluster.
        ours: u64,
    },
    /// The other side doesn't have the cluster key.
    #[error("wrong cluster key")]
    WrongKey,
    /// The other side is this process itself.
    #[error("connected to itself")]
    Itself,
}

/// What this daemon says of itself, shared by all connections.
#[derive(Debug, Clone)]
pub struct LocalHello {
    hello: HelloFrame,
    /// Cluster ID, or zero while unknown.
    cluster: Arc<AtomicU64>,
    key: SecretKey,
}

impl LocalHello {
    /// Creates it from a hello whose nonce is ignored.
    pub fn new(hello: HelloFrame, key: SecretKey) -> Self {
        let cluster = Arc::new(AtomicU64::new(hello.cluster.unwrap_or_default()));
        Self {
            hello,
            cluster,
            key,
        }
    }

    /// Sets the cluster ID.
    pub fn set_cluster(&self, cluster: u64) {
        self.cluster.store(cluster, Ordering::Relaxed);
    }

    fn cluster(&self) -> Option<u64> {
        let cluster = self.cluster.load(Ordering::Relaxed);
        (cluster != 0).then_some(cluster)
    }

    fn fresh(&self) -> HelloFrame {
        HelloFrame {
            nonce: rand::random(),
            cluster: self.cluster(),
            ..self.hello.clone()
        }
    }

    fn check(&self, theirs: &HelloFrame) -> Result<(), HandshakeError> {
        if theirs.version != PROTOCOL_VERSION {
            return Err(HandshakeError::Version {
                theirs: theirs.version,
            });
        }
        if theirs.run == self.hello.run {
            return Err(HandshakeError::Itself);
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

    /// Returns the proof of the side that said `speaker` to the one that said `listener`.
    fn proof(&self, speaker: &HelloFrame, listener: &HelloFrame) -> blake3::Hash {
        let key = blake3::derive_key(PROOF_CONTEXT, self.key.bytes());
        let both = codec::encode(&(speaker, listener));
        blake3::keyed_hash(&key, &both)
    }
}

/// Returns a frame as a message.
pub(super) fn to_message(frame: &PeerFrame) -> Message {
    Message::Binary(codec::encode(frame))
}

/// Reads the next frame, skipping what the transport sends for itself.
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

/// Carries out the handshake; both sides do the same.
///
/// # Errors
///
/// Returns why the connection must be closed.
pub(super) async fn shake_hands<S>(
    stream: &mut S,
    local: &LocalHello,
) -> Result<HelloFrame, HandshakeError>
where
    S: Stream<Item = Result<Message, tungstenite::Error>>
        + Sink<Message, Error = tungstenite::Error>
        + Unpin,
{
    let ours = local.fresh();
    stream
        .send(to_message(&PeerFrame::Hello(ours.clone())))
        .await?;
    let PeerFrame::Hello(theirs) = next_frame(stream).await? else {
        return Err(HandshakeError::Unexpected);
    };
    local.check(&theirs)?;
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
