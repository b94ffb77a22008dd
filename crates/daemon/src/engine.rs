//! Generations by engines: a stream of tokens that goes on at another engine if one fails.

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
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::retry::backoff_ms;
use bergamotlane_policy::targets::prefix_digest;
use bergamotlane_wire::http::SpanBody;

/// Silence of an engine's stream after which another one goes on with it.
const TOKEN_LIMIT: Duration = Duration::from_millis(2_000);

/// Engines that may fail one generation.
const MAX_ATTEMPTS: u32 = 4;

/// Largest event of an engine's stream, in bytes.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// A generation as the engine takes it: the chat/completions shape, with what it takes to
/// go on in the middle.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerationBody {
    /// Prompt messages.
    pub messages: serde_json::Value,
    /// Tokens wanted at most.
    pub max_tokens: u32,
    /// Always set towards engines.
    pub stream: bool,
    /// Sampling seed, so that samples of one prompt differ.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// Lower runs first.
    pub priority: u32,
    /// Tokens that exist already; the stream starts after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume: Vec<String>,
}

/// One token of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenEvent {
    /// Place in the answer, from zero.
    pub index: u32,
    /// Text.
    pub text: String,
    /// Weight version that the engine reported for it.
    pub version: u64,
}

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

/// Why a generation ended without being whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GenerationFailure {
    /// No engine could be had; nothing was sent.
    NotRun(GateRefusal),
    /// Too many engines failed.
    Engines,
    /// The deadline passed.
    Late,
    /// The engine refused the request itself.
    Refused(u16),
}

/// Step of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GenerationStep {
    /// A token.
    Token(TokenEvent),
    /// The answer is whole; why it ended, as the engine says.
    Finished(String),
}

/// What ended one engine's stream.
enum AttemptEnd {
    Finished(String),
    Broken,
}

/// A running generation.
pub struct Generation {
    shared: Arc<TrafficShared>,
    gate: Arc<ServiceGate>,
    client: reqwest::Client,
    request: GateRequest,
    body: GenerationBody,
    deadline: ClockTime,
    attempt: u32,
    sent: bool,
    current: Option<EngineStream>,
}

/// An open stream of one engine.
struct EngineStream {
    slot: SlotGuard,
    chunks: futures_util::stream::BoxStream<'static, reqwest::Result<Bytes>>,
    buffer: BytesMut,
}

impl Generation {
    /// Prepares a generation; nothing is sent before the first step.
    pub fn new(
        shared: Arc<TrafficShared>,
        gate: Arc<ServiceGate>,
        client: reqwest::Client,
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

    /// Returns the next token, or the end.
    ///
    /// If an engine fails, another one goes on after the last token. Dropping the
    /// generation closes the engine's stream, which cancels its work.
    ///
    /// # Errors
    ///
    /// Returns why the answer can't become whole.
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

    /// Opens a stream; returns the status with which the engine refused the request itself.
    async fn open(&mut self) -> Result<Option<u16>, GenerationFailure> {
        if self.attempt > 0 {
            let spent = self.attempt < MAX_ATTEMPTS && self.shared.retries.spend();
            if !spent {
                return Err(GenerationFailure::Engines);
            }
            self.shared.metrics.retries.inc();
            let pause = backoff_ms(self.attempt, rand::random());
            tokio::time::sleep(Duration::from_millis(pause)).await;
        } else {
            self.shared.retries.earn();
        }
        self.attempt += 1;
        self.request.choice.spread = rand::random();
        let entered = self.gate.enter(&self.shared, self.request.clone()).await;
        let slot = entered.map_err(|refusal| match self.sent {
            true => GenerationFailure::Engines,
            false => GenerationFailure::NotRun(refusal),
        })?;
        self.sent = true;
        let url = format!("http://{}/v1/chat/completions", slot.target.address);
        let sending = self.client.post(url).json(&self.body).send();
        let response = match timeout(TOKEN_LIMIT, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                if error.is_connect() {
                    slot.target.counters.revoke();
                }
                self.fail(&slot);
                return Ok(None);
            }
            Err(_) => {
                self.fail(&slot);
                return Ok(None);
            }
        };
        let status = response.status();
        if status.is_client_error() && status.as_u16() != 429 {
            return Ok(Some(status.as_u16()));
        }
        if !status.is_success() {
            self.fail(&slot);
            return Ok(None);
        }
        self.current = Some(EngineStream {
            slot,
            chunks: response.bytes_stream().boxed(),
            buffer: BytesMut::new(),
        });
        Ok(None)
    }

    fn fail(&mut self, slot: &SlotGuard) {
        slot.report(false);
        self.request.choice.avoid = Some(slot.target.identity);
    }
}

impl EngineStream {
    /// Returns the next token, which must have the index `expected`.
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
            match timeout(TOKEN_LIMIT, self.chunks.next()).await {
                Ok(Some(Ok(bytes))) => self.buffer.extend_from_slice(&bytes),
                // An end without the finish event is a truncation, however clean it looks.
                _ => return Err(AttemptEnd::Broken),
            }
        }
    }

    /// Takes one server-sent event off the buffer.
    fn take_event(&mut self) -> Option<Bytes> {
        let end = self.buffer.windows(2).position(|it| it == b"\n\n")?;
        let event = self.buffer.split_to(end + 2).freeze();
        Some(event)
    }
}

/// Reads an event; returns `None` if it carries nothing.
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
    // A token out of turn or without a version can't be passed on truthfully.
    match (chunk.token_index, chunk.weight_version) {
        (Some(index), Some(version)) if index == expected => Some(Ok(TokenEvent {
            index,
            text,
            version,
        })),
        _ => Some(Err(AttemptEnd::Broken)),
    }
}

/// Adds a token to the spans of an answer.
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
