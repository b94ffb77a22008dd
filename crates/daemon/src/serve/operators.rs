//! Listener for operators: configuration changes, state, metrics and health checks.

use std::sync::Arc;
use std::time::Duration;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::http::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use super::Refusal;
use super::ServeContext;
use super::answer::set_header;
use super::keys::strip_head;
use super::read_json;
use super::write_json;
use crate::clock::now;
use crate::control::ControlQuery;
use bergamotlane_policy::control::ChangeBody;
use bergamotlane_policy::control::ChangeOutcome;
use bergamotlane_policy::control::ConfigChange;
use bergamotlane_policy::control::ControlCommand;
use bergamotlane_policy::control::ControlOutcome;
use bergamotlane_policy::plan::KeyHash;
use bergamotlane_policy::plan::KeyRole;
use bergamotlane_policy::plan::KeyRow;
use bergamotlane_policy::plan::read_sheet;
use bergamotlane_wire::ChangeBodyWire;
use bergamotlane_wire::codec;
use bergamotlane_wire::http::AcceptedBody;
use bergamotlane_wire::http::GrantBody;
use bergamotlane_wire::peer::MembershipChange;

/// Largest body with a plan sheet that is read, in bytes: one more than a sheet may have, so
/// that a sheet above its limit is reported by the sheet reader.
const MAX_SHEET_BYTES: usize = bergamotlane_policy::plan::MAX_SHEET_BYTES + 1;

/// Interval at which a request that waits for a change to be in force checks it.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for a change to be in force on all instances, in milliseconds; after it the
/// change is answered as accepted but not in force.
const IN_FORCE_TIMEOUT_MS: u64 = 10_000;

/// Routes requests of operators; metrics and health checks need no key.
pub struct OperatorHandler {
    /// State shared with the other listeners.
    pub context: Arc<ServeContext>,
}

#[salvo::async_trait]
impl Handler for OperatorHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if let Err(refusal) = dispatch(&self.context, req, res).await {
            refusal.write(res);
        }
    }
}

async fn dispatch(
    context: &ServeContext,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Refusal> {
    let method = req.method().as_str().to_owned();
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method.as_str(), parts.as_slice()) {
        ("GET", ["metrics"]) => {
            set_header(res, "content-type", "text/plain; version=0.0.4");
            res.body(context.shared.metrics.render());
            return Ok(());
        }
        ("GET", ["healthz"]) => return write_json(res, &json!({ "alive": true })),
        ("GET", ["readyz"]) => return ready(context, res),
        _ => {}
    }
    check_operator(context, req)?;
    match (method.as_str(), parts.as_slice()) {
        ("GET", ["dump"]) => answer(context, res, ControlQuery::Dump).await,
        ("GET", ["v1", "status"]) => answer(context, res, ControlQuery::Status).await,
        ("GET", ["v1", "usage"]) => answer(context, res, ControlQuery::Usage).await,
        ("GET", ["v1", "targets"]) => answer(context, res, ControlQuery::Targets).await,
        ("GET", ["v1", "sheet"]) => export_sheet(context, res).await,
        ("GET", ["v1", "in-force", index]) => in_force(context, res, index).await,
        ("PUT", ["v1", "sheet"]) => {
            let body = read_plan(req).await?;
            change(context, req, res, body).await
        }
        ("POST", ["v1", "keys"]) => {
            let body = read_grant(read_json(req).await?)?;
            change(context, req, res, body).await
        }
        ("DELETE", ["v1", "keys", id]) => {
            let id = (*id).to_owned();
            change(context, req, res, ChangeBody::WithdrawKey { id }).await
        }
        ("POST", ["v1", "zones", zone, "pull"]) => {
            let zone = (*zone).to_owned();
            change(context, req, res, ChangeBody::PullZone { zone }).await
        }
        ("POST", ["v1", "zones", zone, "restore"]) => {
            let zone = (*zone).to_owned();
            change(context, req, res, ChangeBody::RestoreZone { zone }).await
        }
        ("POST", ["v1", "instances", name]) => {
            let name = (*name).to_owned();
            change_membership(context, res, MembershipChange::Add { name }).await
        }
        ("DELETE", ["v1", "instances", name]) => {
            let name = (*name).to_owned();
            change_membership(context, res, MembershipChange::Remove { name }).await
        }
        _ => Err(Refusal::not_found()),
    }
}

/// Answers that the instance is ready, unless it drains or its view isn't confirmed.
fn ready(context: &ServeContext, res: &mut Response) -> Result<(), Refusal> {
    if context.shared.is_draining() {
        return Err(Refusal::draining());
    }
    if !context.shared.is_fresh(now()) {
        return Err(Refusal::not_confirmed());
    }
    res.status_code(StatusCode::OK);
    write_json(res, &json!({ "ready": true }))
}

fn check_operator(context: &ServeContext, req: &Request) -> Result<(), Refusal> {
    let head = strip_head(req.headers(), req.uri().query());
    let expected = KeyHash::of(context.operator_key.bytes());
    match head.key.is_some_and(|key| key.matches(&expected)) {
        true => Ok(()),
        false => Err(Refusal::unknown_key()),
    }
}

/// Answers with the control thread's answer to a query, as JSON.
async fn answer<T: serde::Serialize>(
    context: &ServeContext,
    res: &mut Response,
    query: impl FnOnce(tokio::sync::oneshot::Sender<T>) -> ControlQuery,
) -> Result<(), Refusal> {
    match context.handle.query(query).await {
        Some(body) => write_json(res, &body),
        None => Err(Refusal::draining()),
    }
}

/// Answers with the plan in force as a sheet.
async fn export_sheet(context: &ServeContext, res: &mut Response) -> Result<(), Refusal> {
    // A sheet from an outdated view would carry a number that a later change has replaced.
    if !context.shared.is_fresh(now()) {
        return Err(Refusal::not_confirmed());
    }
    let sheet = context.handle.query(ControlQuery::Sheet).await;
    let sheet = sheet.ok_or_else(Refusal::draining)?;
    set_header(res, "content-type", "text/csv");
    res.body(sheet);
    Ok(())
}

/// Answers whether the change at a log index is in force on all instances.
async fn in_force(context: &ServeContext, res: &mut Response, index: &str) -> Result<(), Refusal> {
    let Ok(index) = index.parse() else {
        return Err(Refusal::bad_request("the index is not a number"));
    };
    match context.handle.is_in_force(index).await {
        Some(in_force) => write_json(res, &json!({ "in_force": in_force })),
        None => Err(Refusal::no_leader()),
    }
}

/// Reads a plan sheet from the body of a request.
async fn read_plan(req: &mut Request) -> Result<ChangeBody, Refusal> {
    let bytes = match req.payload_with_max_size(MAX_SHEET_BYTES).await {
        Ok(bytes) => bytes.clone(),
        Err(_) => return Err(Refusal::too_large(MAX_SHEET_BYTES)),
    };
    match read_sheet(&bytes) {
        Ok(sheet) => Ok(ChangeBody::ReplacePlan { sheet }),
        Err(findings) => {
            let findings = findings.iter().map(ToString::to_string).collect();
            Err(
                Refusal::bad_request("the sheet has faults; nothing was changed")
                    .with_findings(findings),
            )
        }
    }
}

/// Checks the grant of a key.
fn read_grant(body: GrantBody) -> Result<ChangeBody, Refusal> {
    let mut findings = Vec::new();
    let role = match body.role.as_str() {
        "caller" => KeyRole::Caller,
        "target" => KeyRole::Target,
        "trainer" => KeyRole::Trainer,
        _ => {
            findings.push("role: must be caller, target or trainer".to_owned());
            KeyRole::Caller
        }
    };
    let hash = KeyHash::from_hex(&body.hash);
    if hash.is_none() {
        findings.push("hash: must be 64 hexadecimal digits".to_owned());
    }
    if body.id.is_empty() || body.id.len() > 64 {
        findings.push("id: must have 1 to 64 bytes".to_owned());
    }
    match hash {
        Some(hash) if findings.is_empty() => Ok(ChangeBody::GrantKey {
            hash,
            row: KeyRow {
                id: body.id,
                role,
                owner: body.owner,
            },
        }),
        _ => Err(Refusal::bad_request("the grant has faults").with_findings(findings)),
    }
}

/// Submits a change of the configuration.
///
/// The query gives the number of the change (`number=N`), which makes a repetition
/// idempotent; with `wait=in-force` the answer waits until all instances apply the change.
async fn change(
    context: &ServeContext,
    req: &Request,
    res: &mut Response,
    body: ChangeBody,
) -> Result<(), Refusal> {
    let query = req.uri().query().unwrap_or_default();
    let pairs: Vec<(&str, &str)> = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .collect();
    let number = pairs.iter().find(|(name, _)| *name == "number");
    let number = number.and_then(|(_, value)| value.parse().ok());
    let number = number.ok_or_else(|| Refusal::bad_request("the query needs a number"))?;
    let wire = ChangeBodyWire::from(&body);
    let digest = KeyHash::of(&codec::encode(&wire));
    let change = ConfigChange {
        number,
        digest,
        body,
    };
    let command = ControlCommand::Change { change };
    let outcome = match context.handle.submit(command).await? {
        ControlOutcome::Change { outcome } => outcome,
        _ => return Err(Refusal::internal("unexpected result")),
    };
    if let Some(refusal) = Refusal::from_change(&outcome) {
        return Err(refusal);
    }
    let ChangeOutcome::Accepted { number, index } = outcome else {
        return Err(Refusal::internal("unexpected result"));
    };
    let wait = pairs.contains(&("wait", "in-force"));
    let in_force = match wait {
        true => Some(wait_in_force(context, index).await),
        false => None,
    };
    let body = AcceptedBody {
        number,
        index,
        in_force,
    };
    write_json(res, &body)
}

/// Waits up to [`IN_FORCE_TIMEOUT_MS`] until a log index is in force; returns whether it is.
async fn wait_in_force(context: &ServeContext, index: u64) -> bool {
    let limit = now() + IN_FORCE_TIMEOUT_MS;
    while now() < limit {
        if context.handle.is_in_force(index).await == Some(true) {
            return true;
        }
        sleep(IN_FORCE_POLL_INTERVAL).await;
    }
    false
}

/// Proposes to add an instance to the group or to remove one; doesn't wait for the result.
async fn change_membership(
    context: &ServeContext,
    res: &mut Response,
    change: MembershipChange,
) -> Result<(), Refusal> {
    match context.handle.change_membership(change).await {
        Ok(()) => write_json(res, &json!({ "proposed": true })),
        Err(message) => Err(Refusal::conflict("membership", message)),
    }
}
