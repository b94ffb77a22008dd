//! Serves generations by engines through the chat/completions API, streamed or as one response.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use salvo::Request;
use salvo::Response;
use salvo::http::ResBody;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use super::Refusal;
use super::ServeContext;
use super::answer::set_header;
use super::callers::AdmittedCall;
use super::callers::admit;
use super::callers::is_still_allowed;
use super::keys::strip_head;
use super::keys::strip_json;
use super::read_json;
use super::write_json;
use crate::engine::Generation;
use crate::engine::GenerationBody;
use crate::engine::GenerationFailure;
use crate::engine::GenerationStep;
use crate::engine::TokenEvent;
use crate::engine::extend_spans;
use crate::gate::GateRequest;
use crate::rollout::customer_hash;
use crate::shared::RequestGuard;
use bergamotlane_policy::fair::RequestRank;
use bergamotlane_policy::plan::ServiceKind;
use bergamotlane_policy::route::RouteRefusal;
use bergamotlane_policy::targets::ChoiceRequest;
use bergamotlane_wire::http::SpanBody;
use bergamotlane_wire::http::VERSION_HEADER;

/// Limit on the tokens of a response if the request sets none.
const DEFAULT_TOKENS: u32 = 128;

/// Largest limit on the tokens of a response that a request can set.
const MAX_TOKENS: u32 = 32_768;

/// Fields of a chat/completions request that are read; others are ignored.
#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Value,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    seed: Option<u64>,
}

/// Handles a generation request; returns the service that it names, for the metrics, and
/// the result.
pub async fn call(
    context: &Arc<ServeContext>,
    req: &mut Request,
    res: &mut Response,
    in_progress: RequestGuard,
) -> (String, Result<(), Refusal>) {
    let mut service = String::new();
    let result = run(context, req, res, in_progress, &mut service).await;
    (service, result)
}

async fn run(
    context: &Arc<ServeContext>,
    req: &mut Request,
    res: &mut Response,
    in_progress: RequestGuard,
    service: &mut String,
) -> Result<(), Refusal> {
    if req.method() != "POST" {
        return Err(Refusal::bad_request("generations are asked for by POST"));
    }
    let mut value: Value = read_json(req).await?;
    let body_key = strip_json(&mut value);
    let head = strip_head(req.headers(), req.uri().query());
    let chat: ChatBody = serde_json::from_value(value)
        .map_err(|error| Refusal::bad_request(format!("not a chat request: {error}")))?;
    service.clone_from(&chat.model);
    let call = admit(context, &chat.model, head.key.or(body_key))?;
    let route = call.service().ok_or(RouteRefusal::NoService)?;
    if route.kind != ServiceKind::Engine {
        return Err(Refusal::bad_request("this service doesn't generate"));
    }
    let generation = prepare(context, &chat, &call)?;
    let mut caller = CallerStream {
        context: Arc::clone(context),
        changes: context.shared.subscribe(),
        id: format!("gen-{:016x}", rand::random::<u64>()),
        service: chat.model,
        generation,
        call,
        tokens: 0,
        spans: Vec::new(),
        _in_progress: in_progress,
    };
    if chat.stream {
        // Wait for the first token before the response starts: until then a failure can be
        // answered with a status that says whether anything ran.
        let first = caller.step().await.map_err(to_refusal)?;
        set_header(res, "content-type", "text/event-stream");
        set_header(res, "cache-control", "no-cache");
        if let GenerationStep::Token(event) = &first {
            set_header(res, VERSION_HEADER, &event.version.to_string());
        }
        let body = caller.into_body(first);
        res.replace_body(body);
        return Ok(());
    }
    caller.write_response(res).await
}

/// Builds the generation for a request; the admission queue and the engine are contacted by
/// its first step only.
fn prepare(
    context: &Arc<ServeContext>,
    chat: &ChatBody,
    call: &AdmittedCall,
) -> Result<Generation, Refusal> {
    let pool = call.view.pools.get(call.service);
    let gate = pool.map(|pool| Arc::clone(&pool.gate));
    let gate = gate.ok_or_else(Refusal::not_found)?;
    let (customer, weight) = call.customer_id();
    let request = GateRequest {
        service: chat.model.as_str().into(),
        rank: RequestRank::Lookup,
        customer: customer_hash(customer),
        weight,
        deadline: call.deadline,
        choice: ChoiceRequest::default(),
    };
    let body = GenerationBody {
        messages: chat.messages.clone(),
        max_tokens: chat
            .max_tokens
            .unwrap_or(DEFAULT_TOKENS)
            .clamp(1, MAX_TOKENS),
        stream: true,
        seed: chat.seed,
        priority: 0,
        resume: Vec::new(),
    };
    Ok(Generation::new(
        Arc::clone(&context.shared),
        gate,
        context.client.clone(),
        request,
        body,
        call.deadline,
    ))
}

/// Why a caller's generation ended before it was complete.
#[derive(Debug, Clone, Copy)]
enum StreamFailure {
    /// The generation itself failed.
    Generation(GenerationFailure),
    /// The caller's key was withdrawn while the generation ran.
    KeyWithdrawn,
}

fn to_refusal(failure: StreamFailure) -> Refusal {
    match failure {
        StreamFailure::KeyWithdrawn => Refusal::unknown_key(),
        StreamFailure::Generation(GenerationFailure::NotRun(refusal)) => refusal.into(),
        StreamFailure::Generation(GenerationFailure::Late) => Refusal::deadline_passed(),
        StreamFailure::Generation(GenerationFailure::Engines) => {
            Refusal::target_failed("too many engines failed")
        }
        StreamFailure::Generation(GenerationFailure::Refused(status)) => {
            Refusal::bad_request(format!("the engine refused the request with {status}"))
        }
    }
}

/// A caller's generation in progress, and what was generated so far.
struct CallerStream {
    context: Arc<ServeContext>,
    /// Wakes when a new view is published, to check the key again.
    changes: watch::Receiver<u64>,
    id: String,
    service: String,
    generation: Generation,
    call: AdmittedCall,
    /// Tokens generated so far; the customer is charged for them once the response is complete.
    tokens: u64,
    /// Weight version of each range of tokens.
    spans: Vec<SpanBody>,
    _in_progress: RequestGuard,
}

impl CallerStream {
    /// Returns the next token or the end; fails as soon as the caller's key is withdrawn.
    async fn step(&mut self) -> Result<GenerationStep, StreamFailure> {
        let key = self.call.key;
        let context = Arc::clone(&self.context);
        let service = self.service.clone();
        let step = {
            let next_step = self.generation.step();
            tokio::pin!(next_step);
            loop {
                tokio::select! {
                    step = &mut next_step => break step,
                    _ = self.changes.changed() => {
                        if !is_still_allowed(&context, &service, key.as_ref()) {
                            return Err(StreamFailure::KeyWithdrawn);
                        }
                    }
                }
            }
        };
        let step = step.map_err(StreamFailure::Generation)?;
        if let GenerationStep::Token(event) = &step {
            self.tokens += 1;
            extend_spans(&mut self.spans, event);
        }
        Ok(step)
    }

    /// Returns one server-sent event; the last one of a stream lists the spans.
    fn chunk(&self, delta: &Value, finish: Option<&str>, event: Option<&TokenEvent>) -> Bytes {
        let mut chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.service,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        });
        if let Some(event) = event {
            chunk["weight_version"] = event.version.into();
            chunk["token_index"] = event.index.into();
        }
        if finish.is_some() {
            chunk["spans"] = json!(self.spans);
        }
        Bytes::from(format!("data: {chunk}\n\n"))
    }

    /// Returns the event or events for a step.
    fn render(&self, step: &GenerationStep) -> Bytes {
        match step {
            GenerationStep::Token(event) => {
                self.chunk(&json!({ "content": event.text }), None, Some(event))
            }
            GenerationStep::Finished(reason) => {
                let last_chunk = self.chunk(&json!({}), Some(reason), None);
                [&last_chunk[..], b"data: [DONE]\n\n"].concat().into()
            }
        }
    }

    /// Returns a body that streams `first` and all further steps.
    ///
    /// A failure aborts the connection, so that a caller can't take a truncated response
    /// for a complete one.
    fn into_body(self, first: GenerationStep) -> ResBody {
        let state = Some((self, Some(first)));
        ResBody::stream(stream::unfold(state, |state| async move {
            let (mut caller, pending) = state?;
            let step = match pending {
                Some(step) => Ok(step),
                None => caller.step().await,
            };
            match step {
                Ok(step) => {
                    let bytes = caller.render(&step);
                    let next = match step {
                        GenerationStep::Token(_) => Some((caller, None)),
                        GenerationStep::Finished(_) => {
                            caller.call.charge(caller.tokens);
                            None
                        }
                    };
                    Some((Ok(bytes), next))
                }
                Err(failure) => {
                    let message = format!("generation ended before it was complete: {failure:?}");
                    Some((Err(std::io::Error::other(message)), None))
                }
            }
        }))
    }

    /// Runs the generation to its end and writes it as one JSON response.
    async fn write_response(mut self, res: &mut Response) -> Result<(), Refusal> {
        let mut text = String::new();
        let reason = loop {
            match self.step().await.map_err(to_refusal)? {
                GenerationStep::Token(event) => text.push_str(&event.text),
                GenerationStep::Finished(reason) => break reason,
            }
        };
        let body = json!({
            "id": self.id,
            "object": "chat.completion",
            "model": self.service,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": reason,
            }],
            "usage": { "completion_tokens": self.tokens },
            "spans": self.spans,
        });
        let versions: Vec<String> = self
            .spans
            .iter()
            .map(|span| span.weight_version.to_string())
            .collect();
        set_header(res, VERSION_HEADER, &versions.join(","));
        self.call.charge(self.tokens);
        write_json(res, &body)
    }
}
