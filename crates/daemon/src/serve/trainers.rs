//! Trainers: submit groups, name a version, fetch a batch under a cursor, acknowledge it.

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
use crate::samples::SampleMissing;
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

/// Handles a trainer's request.
///
/// # Errors
///
/// Returns the refusal.
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
            run(context, trainer, command).await?;
            write_json(res, &json!({ "version": version }))
        }
        ("GET", "batch") => fetch(context, trainer, req, res).await,
        ("POST", "ack") => acknowledge(context, trainer, req, res).await,
        _ => Err(Refusal::not_found()),
    }
}

fn authorize(context: &ServeContext, trainer: &str, req: &Request) -> Result<TrainerRow, Refusal> {
    let head = strip_head(req.headers(), req.uri().query());
    let view = context.shared.view();
    let owner = head.key.as_ref().and_then(|it| view.routes().owner(it));
    let allowed = matches!(owner, Some(KeyOwner::Trainer(id)) if id == trainer);
    if !allowed {
        return Err(Refusal::key());
    }
    if !context.shared.is_fresh(now()) {
        return Err(Refusal::stale());
    }
    let row = view.routes().trainer(trainer);
    row.cloned().ok_or_else(Refusal::not_found)
}

async fn run(
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
    for (place, group) in body.groups.into_iter().enumerate() {
        let count = group.samples.unwrap_or(row.group_size);
        if group.id.is_empty() || group.id.len() > 128 {
            findings.push(format!("groups[{place}].id: must have 1 to 128 bytes"));
        }
        if count == 0 || count > 1_024 {
            findings.push(format!("groups[{place}].samples: must be 1 to 1024"));
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
    match run(context, trainer, RolloutCommand::Submit { groups }).await? {
        RolloutOutcome::Done {} => write_json(res, &json!({ "submitted": submitted })),
        RolloutOutcome::GroupConflict { group } => {
            let message = format!("group {group:?} was submitted with other content");
            Err(Refusal::conflict("group-conflict", message))
        }
        RolloutOutcome::UnknownTrainer {} => Err(Refusal::not_found()),
        _ => Err(Refusal::internal("unexpected result")),
    }
}

fn query_number(req: &Request, name: &str) -> Result<u64, Refusal> {
    let query = req.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
    let value = pairs.find(|(key, _)| *key == name);
    value
        .and_then(|(_, value)| value.parse().ok())
        .ok_or_else(|| Refusal::bad_request(format!("the query needs a number {name}")))
}

async fn fetch(
    context: &ServeContext,
    trainer: &str,
    req: &Request,
    res: &mut Response,
) -> Result<(), Refusal> {
    let cursor = query_number(req, "cursor")?;
    let version = query_number(req, "version")?;
    let command = RolloutCommand::Fetch { cursor, version };
    let outcome = run(context, trainer, command).await?;
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

/// Gathers the content of a committed batch from its holders.
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
        let found = context.samples.find(&live, &record.holders, wire);
        match found.await {
            Ok(body) => {
                let body: SampleBody = serde_json::from_slice(&body)
                    .map_err(|_| Refusal::internal("a sample could not be read"))?;
                samples.push(body);
            }
            Err(SampleMissing::Lost) => {
                lose(context, trainer, sample, record.attempt).await?;
                lost += 1;
            }
            Err(SampleMissing::Unreachable) => {
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

async fn lose(
    context: &ServeContext,
    trainer: &str,
    sample: SampleKey,
    attempt: AttemptId,
) -> Result<(), Refusal> {
    spdlog::warn!("rollout: Sample {sample:?} is lost and will be run again.");
    let command = RolloutCommand::Lose { sample, attempt };
    run(context, trainer, command).await.map(|_| ())
}

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
    match run(context, trainer, command).await? {
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
