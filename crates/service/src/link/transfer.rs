//! Transfer of frames over a link in both directions.

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;

use super::FLUSH_AFTER_FRAMES;
use super::LinkError;
use super::LinkEvent;
use super::LinkHub;
use super::LinkId;
use super::PING_INTERVAL;
use super::SILENCE_LIMIT;
use super::Socket;
use crate::frames::LinkFrame;
use crate::inbox::FramePool;
use crate::metrics::METRICS;
use crate::outbox::FrameQueue;
use crate::parts::feed_frame;
use crate::parts::next_frame;
use bergamotlane_wire::codec;

impl LinkHub {
    /// Sends queued frames and reports received ones until the link fails.
    pub(super) async fn transfer(
        &self,
        socket: Socket,
        link: LinkId,
        outbound: FrameQueue,
        pool: &FramePool,
    ) -> LinkError {
        let (sink, source) = socket.split();
        let cut = outbound.cut_signal();
        tokio::select! {
            error = self.write(sink, outbound) => error,
            error = self.read(source, link, pool) => error,
            () = cut.wait() => LinkError::Cut,
        }
    }

    /// Sends queued frames, and a heartbeat when there are none, until the link fails.
    async fn write(
        &self,
        mut sink: SplitSink<Socket, Message>,
        mut outbound: FrameQueue,
    ) -> LinkError {
        loop {
            let first = match timeout(PING_INTERVAL, outbound.recv()).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return LinkError::Closed,
                Err(_) => {
                    let hint = self.state().hint;
                    codec::encode(&LinkFrame::Ping(hint))
                }
            };
            if let Err(error) = write_frames(&mut sink, &mut outbound, first).await {
                return error;
            }
        }
    }

    /// Reports received frames until the link fails. Frames that this build does not know, or that are
    /// too long, are skipped.
    async fn read(
        &self,
        mut source: SplitStream<Socket>,
        link: LinkId,
        pool: &FramePool,
    ) -> LinkError {
        let mut has_skipped = false;
        loop {
            let skipped = match next_frame(&mut source, pool, SILENCE_LIMIT).await {
                Ok(Ok((frame, receipt))) => {
                    self.report(LinkEvent::Frame(link, frame, receipt));
                    continue;
                }
                Ok(Err(skipped)) => skipped,
                Err(error) => return error,
            };
            METRICS.frames_skipped.inc();
            // One line is enough: a build that sends unknown frames sends many of them.
            if !std::mem::replace(&mut has_skipped, true) {
                spdlog::warn!("link: frames skipped", kv: { link = link.0, first = skipped.to_string() });
            }
        }
    }
}

/// Writes a frame and those that wait behind it, and flushes the connection.
async fn write_frames(
    sink: &mut SplitSink<Socket, Message>,
    outbound: &mut FrameQueue,
    first: Bytes,
) -> Result<(), LinkError> {
    feed_frame(sink, &first, SILENCE_LIMIT).await?;
    drop(first);
    for _ in 0..FLUSH_AFTER_FRAMES {
        match outbound.try_recv() {
            Some(frame) => feed_frame(sink, &frame, SILENCE_LIMIT).await?,
            None => break,
        }
    }
    let flushed = timeout(SILENCE_LIMIT, sink.flush()).await;
    Ok(flushed.map_err(|_| LinkError::Silent)??)
}
