//! Handles the requests of trainers: submitting groups of samples, announcing a weight version,
//! fetching the batch at a cursor and acknowledging it.

use std::sync::Arc;

use bytes::Bytes;
use salvo::Request;
use salvo::Response;
use serde_json::json;

use super::Refusal;
use super::ServeContext;
use super::keys::strip_head;
use super::read_json;
use super::write_json;
use crate::clock::now;
use crate::samples::FetchFailure;
use bergamotlane_policy::control::AttemptId;
use bergamotlane_policy::control::BatchRecord;
use bergamotlane_policy::control::ControlCommand;
use bergamotlane_policy::control::ControlOutcome;
use bergamotlane_policy::control::FetchOutcome;
use bergamotlane_policy::control::NewGroup;
use bergamotlane_policy::control::RolloutCommand;
use bergamotlane_policy::control::RolloutOutcome;
use bergamotlane_policy::control::SampleKey;
use bergamotlane_policy::plan::TrainerRow;
use bergamotlane_policy::route::KeyOwner;
use bergamotlane_wire::AttemptIdWire;
use bergamotlane_wire::http::AcknowledgeBody;
use bergamotlane_wire::http::BatchBody;
use bergamotlane_wire::http::SampleBody;
use bergamotlane_wire::http::SubmitBody;
use bergamotlane_wire::http::VersionBody;

/// Handles a request of the trainer `trainer`.
///
/// # Errors
///
/// Returns the refusal to answer with.
pub async fn call(
    context: &Arc<ServeContext>,
    trainer: &str,
    action: &str,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Refusal> {
    let row = authorize(context, trainer, req)?;
    match (req.method().as_str(), action) {
        ("POST", "groups") => submit(context, trainer, &row, req, res).await,
        ("POST", "version") => {
            let body: VersionBody = read_json(req).await?;
            let version = body.version;
            let command = RolloutCommand::Version { version };
            submit_command(context, trainer, command).await?;
            write_json(res, &json!({ "version": version }))
        }
        ("GET", "batch") => fetch(context, trainer, req, res).await,
        ("POST", "ack") => acknowledge(context, trainer, req, res).await,
        _ => Err(Refusal::not_found()),
    }
}

/// Checks that the request carries the trainer's key and that the view is confirmed; returns
/// the trainer's row of the plan.
fn authorize(context: &ServeContext, trainer: &str, req: &Request) -> Result<TrainerRow, Refusal> {
    let head = strip_head(req.headers(), req.uri().query());
    let view = context.shared.view();
    let owner = head.key.as_ref().and_then(|key| view.routes().owner(key));
    let allowed = matches!(owner, Some(KeyOwner::Trainer(id)) if id == trainer);
    if !allowed {
        return Err(Refusal::unknown_key());
    }
    if !context.shared.is_fresh(now()) {
        return Err(Refusal::not_confirmed());
    }
    let row = view.routes().trainer(trainer);
    row.cloned().ok_or_else(Refusal::not_found)
}

/// Submits a command of a trainer and returns its outcome.
async fn submit_command(
    context: &ServeContext,
    trainer: &str,
    command: RolloutCommand,
) -> Result<RolloutOutcome, Refusal> {
    let command = ControlCommand::Rollout {
        trainer: trainer.to_owned(),
        command,
    };
    match context.handle.submit(command).await? {
        ControlOutcome::Rollout { outcome } => Ok(outcome),
        _ => Err(Refusal::internal("unexpected result")),
    }
}

/// Adds groups of samples to generate.
async fn submit(
    context: &ServeContext,
    trainer: &str,
    row: &TrainerRow,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Refusal> {
    let body: SubmitBody = read_json(req).await?;
    let mut findings = Vec::new();
    let mut groups = Vec::new();
    for (index, group) in body.groups.into_iter().enumerate() {
        let count = group.samples.unwrap_or(row.group_size);
        if group.id.is_empty() || group.id.len() > 128 {
            findings.push(format!("groups[{index}].id: must have 1 to 128 bytes"));
        }
        if count == 0 || count > 1_024 {
            findings.push(format!("groups[{index}].samples: must be 1 to 1024"));
        }
        groups.push(NewGroup {
            id: group.id,
            prompt: Bytes::from(group.prompt),
            count,
        });
    }
    if !findings.is_empty() {
        return Err(Refusal::bad_request("groups have faults").with_findings(findings));
    }
    let submitted = groups.len();
    match submit_command(context, trainer, RolloutCommand::Submit { groups }).await? {
        RolloutOutcome::Done {} => write_json(res, &json!({ "submitted": submitted })),
        RolloutOutcome::GroupConflict { group } => {
            let message = format!("group {group:?} was submitted with other content");
            Err(Refusal::conflict("group-conflict", message))
        }
        RolloutOutcome::UnknownTrainer {} => Err(Refusal::not_found()),
        _ => Err(Refusal::internal("unexpected result")),
    }
}

/// Returns the number that the query parameter `name` of a request gives.
fn query_number(req: &Request, name: &str) -> Result<u64, Refusal> {
    let query = req.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name);
    value
        .and_then(|(_, value)| value.parse().ok())
        .ok_or_else(|| Refusal::bad_request(format!("the query needs a number {name}")))
}

/// Answers with the batch at a cursor, once it is complete.
async fn fetch(
    context: &ServeContext,
    trainer: &str,
    req: &Request,
    res: &mut Response,
) -> Result<(), Refusal> {
    let cursor = query_number(req, "cursor")?;
    let version = query_number(req, "version")?;
    let command = RolloutCommand::Fetch { cursor, version };
    let outcome = submit_command(context, trainer, command).await?;
    let RolloutOutcome::Fetched { fetch } = outcome else {
        return Err(Refusal::not_found());
    };
    match fetch {
        FetchOutcome::Ready { batch } => {
            let body = collect(context, trainer, batch).await?;
            write_json(res, &body)
        }
        FetchOutcome::NotReady { ready, needed } => {
            let message = format!("{ready} of {needed} samples are ready");
            Err(Refusal::not_ready(message))
        }
        FetchOutcome::BadCursor { next } => Err(bad_cursor(next)),
    }
}

fn bad_cursor(next: u64) -> Refusal {
    Refusal::conflict("bad-cursor", format!("the next cursor is {next}"))
}

/// Fetches the content of a committed batch's samples from the instances that hold them.
///
/// A sample that no holder has any more is reported as lost, so that it is generated again.
async fn collect(
    context: &ServeContext,
    trainer: &str,
    batch: BatchRecord,
) -> Result<BatchBody, Refusal> {
    let mut samples = Vec::with_capacity(batch.samples.len());
    let mut lost = 0;
    let mut live = context.shared.view().config.live.clone();
    live.remove(&context.run);
    for (sample, record) in batch.samples {
        let wire = AttemptIdWire::from(&record.attempt);
        let fetched = context.samples.fetch(&live, &record.holders, wire);
        match fetched.await {
            Ok(body) => {
                let body: SampleBody = serde_json::from_slice(&body)
                    .map_err(|_| Refusal::internal("a sample could not be read"))?;
                samples.push(body);
            }
            Err(FetchFailure::Lost) => {
                report_lost(context, trainer, sample, record.attempt).await?;
                lost += 1;
            }
            Err(FetchFailure::Unreachable) => {
                return Err(Refusal::not_ready("a holder of samples can't be reached"));
            }
        }
    }
    if lost > 0 {
        return Err(Refusal::not_ready(format!("{lost} samples are run again")));
    }
    Ok(BatchBody {
        cursor: batch.cursor,
        revision: batch.revision,
        samples,
    })
}

/// Reports a sample as lost; `attempt` names the attempt that produced it.
async fn report_lost(
    context: &ServeContext,
    trainer: &str,
    sample: SampleKey,
    attempt: AttemptId,
) -> Result<(), Refusal> {
    spdlog::warn!("rollout: sample {sample:?} is lost and will be generated again");
    let command = RolloutCommand::Lose { sample, attempt };
    submit_command(context, trainer, command).await.map(|_| ())
}

/// Acknowledges a batch, after which instances may drop its samples.
async fn acknowledge(
    context: &ServeContext,
    trainer: &str,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Refusal> {
    let body: AcknowledgeBody = read_json(req).await?;
    let command = RolloutCommand::Acknowledge {
        cursor: body.cursor,
        revision: body.revision,
    };
    match submit_command(context, trainer, command).await? {
        RolloutOutcome::Acknowledged { .. } => {
            write_json(res, &json!({ "acknowledged": body.cursor }))
        }
        RolloutOutcome::Revised { revision } => {
            let message = format!("the batch is at revision {revision}; fetch it again");
            Err(Refusal::conflict("batch-revised", message))
        }
        RolloutOutcome::BadCursor { next } => Err(bad_cursor(next)),
        _ => Err(Refusal::not_found()),
    }
}
