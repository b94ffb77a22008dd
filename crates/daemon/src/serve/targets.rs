//! Listener for targets, which announce themselves regularly with a key of their service.

use std::sync::Arc;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use serde_json::json;

use super::Refusal;
use super::ServeContext;
use super::keys::strip_head;
use super::read_json;
use super::write_json;
use crate::clock::now;
use crate::control::ControlInput;
use bergamotlane_policy::control::PriceClass;
use bergamotlane_policy::route::KeyOwner;
use bergamotlane_policy::targets::TargetAnnouncement;
use bergamotlane_policy::targets::TargetName;
use bergamotlane_policy::targets::software_digest;
use bergamotlane_wire::http::AnnounceBody;

/// Accepts the announcements of targets.
pub struct TargetHandler {
    /// State shared with the other listeners.
    pub context: Arc<ServeContext>,
}

#[salvo::async_trait]
impl Handler for TargetHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if let Err(refusal) = announce(&self.context, req, res).await {
            refusal.write(res);
        }
    }
}

/// Checks an announcement and passes it to the control thread.
async fn announce(
    context: &ServeContext,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Refusal> {
    if req.uri().path() != "/v1/announce" || req.method() != "POST" {
        return Err(Refusal::not_found());
    }
    let head = strip_head(req.headers(), req.uri().query());
    let body: AnnounceBody = read_json(req).await?;
    let view = context.shared.view();
    let owner = head.key.as_ref().and_then(|key| view.routes().owner(key));
    let service = match owner {
        Some(KeyOwner::Target(service)) => view.routes().service_at(*service),
        _ => None,
    };
    // The key of one service must not announce targets of another.
    let service = service.filter(|service| service.id == body.service);
    let service = service.ok_or_else(Refusal::unknown_key)?;
    if !context.shared.is_fresh(now()) {
        return Err(Refusal::not_confirmed());
    }
    let (announcement, uptime_ms) = read_announcement(body)?;
    if !service.zones.contains(&announcement.zone) {
        spdlog::debug!("target: announced from a zone that isn't in use");
    }
    context
        .handle
        .send(ControlInput::Announce(announcement, uptime_ms));
    write_json(res, &json!({ "heard": true }))
}

/// Checks the fields of an announcement; returns it with the target's uptime, in
/// milliseconds.
fn read_announcement(body: AnnounceBody) -> Result<(TargetAnnouncement, u64), Refusal> {
    let mut findings = Vec::new();
    let class = match body.class.as_str() {
        "steady" => PriceClass::Steady,
        "reclaimable" => PriceClass::Reclaimable,
        _ => {
            findings.push("class: must be steady or reclaimable".to_owned());
            PriceClass::Steady
        }
    };
    if body.address.parse::<std::net::SocketAddr>().is_err() {
        findings.push("address: must be an IP address and port".to_owned());
    }
    if body.name.is_empty() || body.name.len() > 64 {
        findings.push("name: must have 1 to 64 bytes".to_owned());
    }
    if !findings.is_empty() {
        return Err(Refusal::bad_request("the announcement has faults").with_findings(findings));
    }
    let announcement = TargetAnnouncement {
        target: TargetName {
            service: body.service,
            name: body.name,
        },
        boot: body.boot,
        address: body.address,
        zone: body.zone,
        class,
        warm: body.warm,
        leaving: body.leaving,
        version: body.weight_version,
        software: software_digest(&body.software),
        load: body.load,
    };
    Ok((announcement, body.uptime_ms))
}
