//! Runs generations at engines; a stream of tokens is resumed at another engine if one fails.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::timeout;

use crate::clock::now;
use crate::gate::GateRefusal;
use crate::gate::GateRequest;
use crate::gate::ServiceGate;
use crate::gate::SlotGuard;
use crate::shared::TrafficShared;
use crate::target_client::TargetClient;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::retry::backoff_ms;
use bergamotlane_policy::targets::prefix_digest;
use bergamotlane_wire::http::SpanBody;

/// Time without data from an engine after which the generation is resumed at another one.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum number of engines that one generation is sent to.
const MAX_ATTEMPTS: u32 = 4;

/// Largest server-sent event that is read from an engine, in bytes.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Body of a request to an engine: a chat/completions request, with an extension to resume an
/// interrupted generation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerationBody {
    /// Messages of the prompt, forwarded as they came.
    pub messages: serde_json::Value,
    /// Maximum number of tokens of the whole answer.
    pub max_tokens: u32,
    /// Whether the engine answers with a stream; always true.
    pub stream: bool,
    /// Seed for sampling; samples of one prompt have different ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// Priority at the engine; requests with lower values run first.
    pub priority: u32,
    /// Tokens that an earlier engine generated; the stream starts after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume: Vec<String>,
}

/// One token of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenEvent {
    /// Position in the answer, from 0.
    pub index: u32,
    /// Text of the token.
    pub text: String,
    /// Weight version that generated the token, as the engine reported.
    pub version: u64,
}

/// Content of an event of an engine's stream.
#[derive(Debug, Deserialize)]
struct EngineChunk {
    choices: Vec<EngineChoice>,
    weight_version: Option<u64>,
    token_index: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct EngineChoice {
    #[serde(default)]
    delta: EngineDelta,
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct EngineDelta {
    content: Option<String>,
}

/// Why a generation ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GenerationFailure {
    /// There was no slot of an engine; nothing was sent.
    NotRun(GateRefusal),
    /// Too many engines failed, or the retry budget is used up.
    Engines,
    /// The deadline of the generation passed.
    Late,
    /// An engine refused the request as invalid, with this HTTP status.
    Refused(u16),
}

/// Result of one step of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GenerationStep {
    /// The next token.
    Token(TokenEvent),
    /// The answer is complete; the value is the engine's finish reason.
    Finished(String),
}

/// How the stream of one engine ended.
enum AttemptEnd {
    /// With the finish event, which carries the reason.
    Finished(String),
    /// Without the finish event, or with invalid content.
    Broken,
}

/// A generation in progress, at one engine at a time.
pub struct Generation {
    shared: Arc<TrafficShared>,
    gate: Arc<ServiceGate>,
    client: TargetClient,
    request: GateRequest,
    body: GenerationBody,
    deadline: ClockTime,
    /// Engines tried so far.
    attempt: u32,
    /// Whether an engine may have got the request.
    sent: bool,
    /// Open stream of the current engine, if there is one.
    current: Option<EngineStream>,
}

/// An open stream of one engine.
struct EngineStream {
    slot: SlotGuard,
    chunks: futures_util::stream::BoxStream<'static, reqwest::Result<Bytes>>,
    buffer: BytesMut,
}

impl Generation {
    /// Creates a generation; nothing is sent before the first [`Self::step`].
    pub fn new(
        shared: Arc<TrafficShared>,
        gate: Arc<ServiceGate>,
        client: TargetClient,
        mut request: GateRequest,
        body: GenerationBody,
        deadline: ClockTime,
    ) -> Self {
        let prompt = Bytes::from(body.messages.to_string());
        request.choice.prefix = prefix_digest(&prompt);
        Self {
            shared,
            gate,
            client,
            request,
            body,
            deadline,
            attempt: 0,
            sent: false,
            current: None,
        }
    }

    /// Returns the next token, or the end of the answer.
    ///
    /// If an engine fails, another one resumes after the last token. Dropping the generation
    /// closes the connection to the engine, which cancels the work there.
    ///
    /// # Errors
    ///
    /// Returns why the generation can't be completed.
    pub async fn step(&mut self) -> Result<GenerationStep, GenerationFailure> {
        loop {
            if now() >= self.deadline {
                return Err(GenerationFailure::Late);
            }
            if self.current.is_none()
                && let Some(status) = self.open().await?
            {
                return Err(GenerationFailure::Refused(status));
            }
            let Some(stream) = &mut self.current else {
                continue;
            };
            let expected = self.body.resume.len() as u32;
            match stream.next(expected).await {
                Ok(event) => {
                    self.body.resume.push(event.text.clone());
                    // What other software makes doesn't fit to the tokens so far.
                    self.request.choice.software = Some(stream.slot.target.software);
                    return Ok(GenerationStep::Token(event));
                }
                Err(AttemptEnd::Finished(reason)) => {
                    stream.slot.report(true);
                    self.current = None;
                    return Ok(GenerationStep::Finished(reason));
                }
                Err(AttemptEnd::Broken) => {
                    stream.slot.report(false);
                    self.request.choice.avoid = Some(stream.slot.target.identity);
                    self.current = None;
                }
            }
        }
    }

    /// Sends the generation to an engine.
    ///
    /// Returns the HTTP status if the engine refused the request as invalid; otherwise
    /// `self.current` is set, unless the attempt failed and can be repeated.
    async fn open(&mut self) -> Result<Option<u16>, GenerationFailure> {
        if self.attempt > 0 {
            let may_retry = self.attempt < MAX_ATTEMPTS && self.shared.retries.spend();
            if !may_retry {
                return Err(GenerationFailure::Engines);
            }
            self.shared.metrics.retries.inc();
            let delay_ms = backoff_ms(self.attempt, rand::random());
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        } else {
            self.shared.retries.earn();
        }
        self.attempt += 1;
        self.request.choice.spread = rand::random();
        let slot = self.gate.enter(&self.shared, self.request.clone()).await;
        let slot = slot.map_err(|refusal| match self.sent {
            true => GenerationFailure::Engines,
            false => GenerationFailure::NotRun(refusal),
        })?;
        self.sent = true;
        let address = &*slot.target.address;
        let url = format!("http://{address}/v1/chat/completions");
        let response = self.client.of(address).post(url).json(&self.body).send();
        let response = match timeout(TOKEN_TIMEOUT, response).await {
            Ok(Ok(response)) => {
                let Ok(response) = self.client.check_head(address, response) else {
                    self.record_failure(&slot);
                    return Ok(None);
                };
                response
            }
            Ok(Err(error)) => {
                if error.is_connect() {
                    slot.target.counters.revoke();
                }
                self.record_failure(&slot);
                return Ok(None);
            }
            Err(_) => {
                self.record_failure(&slot);
                return Ok(None);
            }
        };
        let status = response.status();
        if status.is_client_error() && status.as_u16() != 429 {
            return Ok(Some(status.as_u16()));
        }
        if !status.is_success() {
            self.record_failure(&slot);
            return Ok(None);
        }
        self.current = Some(EngineStream {
            slot,
            chunks: response.bytes_stream().boxed(),
            buffer: BytesMut::new(),
        });
        Ok(None)
    }

    /// Records that the engine of `slot` failed, and avoids it in the next attempt.
    fn record_failure(&mut self, slot: &SlotGuard) {
        slot.report(false);
        self.request.choice.avoid = Some(slot.target.identity);
    }
}

impl EngineStream {
    /// Returns the next token, which must have the index `expected`; fails with how the stream
    /// ended.
    async fn next(&mut self, expected: u32) -> Result<TokenEvent, AttemptEnd> {
        loop {
            if let Some(event) = self.take_event() {
                match read_event(&event, expected) {
                    Some(result) => return result,
                    None => continue,
                }
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(AttemptEnd::Broken);
            }
            match timeout(TOKEN_TIMEOUT, self.chunks.next()).await {
                Ok(Some(Ok(bytes))) => self.buffer.extend_from_slice(&bytes),
                // A stream that ends without the finish event was truncated, even if the connection
                // was closed in an orderly way.
                _ => return Err(AttemptEnd::Broken),
            }
        }
    }

    /// Takes the next complete server-sent event from the buffer.
    fn take_event(&mut self) -> Option<Bytes> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let event = self.buffer.split_to(end + 2).freeze();
        Some(event)
    }
}

/// Parses an event; returns `None` for one without a token or a finish reason.
fn read_event(event: &Bytes, expected: u32) -> Option<Result<TokenEvent, AttemptEnd>> {
    let data = event.strip_prefix(b"data: ")?.trim_ascii();
    if data == b"[DONE]" {
        return None;
    }
    let Ok(chunk) = serde_json::from_slice::<EngineChunk>(data) else {
        return Some(Err(AttemptEnd::Broken));
    };
    let choice = chunk.choices.into_iter().next()?;
    if let Some(reason) = choice.finish_reason {
        return Some(Err(AttemptEnd::Finished(reason)));
    }
    let text = choice.delta.content?;
    // A token that is out of order or has no version would falsify the answer or its spans.
    match (chunk.token_index, chunk.weight_version) {
        (Some(index), Some(version)) if index == expected => Some(Ok(TokenEvent {
            index,
            text,
            version,
        })),
        _ => Some(Err(AttemptEnd::Broken)),
    }
}

/// Adds a token to the spans of an answer, each of which covers adjacent tokens of one weight
/// version.
pub fn extend_spans(spans: &mut Vec<SpanBody>, event: &TokenEvent) {
    if let Some(last) = spans.last_mut()
        && last.weight_version == event.version
    {
        last.to = event.index + 1;
        return;
    }
    spans.push(SpanBody {
        from: event.index,
        to: event.index + 1,
        weight_version: event.version,
    });
}
