//! Tests of links whose peers don't behave.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;

use bergamotlane_service::frames::HelloFrame;
use bergamotlane_service::frames::LinkFrame;
use bergamotlane_service::link::LinkEvent;
use bergamotlane_service::link::LinkHub;
use bergamotlane_wire::codec;

/// Size of the frames that are sent, in bytes.
const FRAME_BYTES: usize = 256 * 1024;

/// Number of frames that must not all be kept for a peer that reads nothing.
const FRAME_COUNT: usize = 64;

/// Time limit for an event of the hub.
const EVENT_LIMIT: Duration = Duration::from_secs(10);

fn hello(run: u64) -> HelloFrame {
    HelloFrame {
        run,
        cluster: None,
        node: None,
        name: format!("process-{run}"),
        zone: "a".to_owned(),
        address: None,
        control: None,
        relay: None,
        founds: false,
        keepers: BTreeSet::new(),
        state_format: 0,
    }
}

/// Guards against memory that grows with each frame for a peer that does not read, and against a
/// link that goes on after it has lost a frame.
#[tokio::test]
async fn a_peer_that_reads_nothing_loses_its_link_and_not_our_memory() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, mut events) = mpsc::unbounded_channel();
    let hub = LinkHub::new(hello(1), sender);
    tokio::spawn(Arc::clone(&hub).listen(listener));
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut socket, _) = client_async(format!("ws://{address}/"), stream)
        .await
        .unwrap();
    // The first byte marks the last part of a frame.
    let mut message = vec![0];
    message.extend_from_slice(&codec::encode(&LinkFrame::Hello(hello(2))));
    socket.send(Message::Binary(message.into())).await.unwrap();
    let event = timeout(EVENT_LIMIT, events.recv()).await.unwrap();
    let Some(LinkEvent::Up { link, .. }) = event else {
        panic!("expected a link, got {event:?}");
    };

    let frame = Bytes::from(vec![7; FRAME_BYTES]);
    let sent = (0..FRAME_COUNT).take_while(|_| hub.send_encoded(link, frame.clone()));
    let count = sent.count();
    assert!(count < FRAME_COUNT, "{count} frames are kept");
    assert!(!hub.send_encoded(link, Bytes::from_static(b"x")));
    let event = timeout(EVENT_LIMIT, events.recv()).await.unwrap();
    assert!(matches!(event, Some(LinkEvent::Down(it)) if it == link));
}
