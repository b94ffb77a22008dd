//! The listener for callers and trainers: which handler, and for whom.

use std::sync::Arc;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::http::Version;

use super::Refusal;
use super::ServeContext;
use super::answer::set_header;
use super::generate;
use super::lookup;
use super::trainers;
use crate::clock::now;
use crate::shared::CustomerGuard;
use crate::shared::TrafficView;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::plan::KeyHash;
use bergamotlane_policy::route::CustomerKey;
use bergamotlane_policy::route::RouteRefusal;
use bergamotlane_policy::route::ServiceKey;
use bergamotlane_policy::route::ServiceRoute;

/// Handler of the callers' listener.
pub struct CallerHandler {
    /// What handlers need.
    pub context: Arc<ServeContext>,
}

/// A request that may run.
pub struct AdmittedCall {
    /// View at admission.
    pub view: Arc<TrafficView>,
    /// Service.
    pub service: ServiceKey,
    /// The customer for whom it runs, unless the route is open and no key came.
    pub customer: Option<CustomerKey>,
    /// Hash of the key.
    pub key: Option<KeyHash>,
    /// Latest end.
    pub deadline: ClockTime,
    /// The customer's slot, given back when the call ends.
    pub _guard: Option<CustomerGuard>,
}

impl AdmittedCall {
    /// Returns the service.
    pub fn service(&self) -> Option<&ServiceRoute> {
        self.view.routes().service_at(self.service)
    }

    /// Charges the customer for a whole answer; anonymous callers aren't charged.
    pub fn charge(&self, tokens: u64) {
        let customer = self.customer;
        let cell = customer.and_then(|it| self.view.config.usage_counter(it, self.service));
        if let Some(cell) = cell {
            cell.charge(tokens);
        }
    }

    /// Returns the customer's ID and weight; an open route's anonymous callers share one.
    pub fn customer_id(&self) -> (&str, u32) {
        let customer = self.customer.and_then(|it| self.view.routes().customer(it));
        customer.map_or(("", 1), |it| (it.id.as_str(), it.row.weight))
    }
}

/// Decides whether a call of `service_id` with `key` may run.
///
/// # Errors
///
/// Returns the refusal; nothing has been sent.
pub fn admit(
    context: &ServeContext,
    service_id: &str,
    key: Option<KeyHash>,
) -> Result<AdmittedCall, Refusal> {
    let time = now();
    let view = context.shared.view();
    let (service, route) = view
        .routes()
        .service(service_id)
        .ok_or(RouteRefusal::NoService)?;
    let customer = view.routes().authorize(route, key.as_ref())?;
    let fresh = context.shared.is_fresh(time);
    if customer.is_some() && !fresh {
        return Err(Refusal::stale());
    }
    let deadline = time + route.deadline_ms;
    let guard = match customer.and_then(|it| view.config.customers.get(it)) {
        Some(cell) => Some(cell.admit(time).ok_or_else(Refusal::limit)?),
        None => None,
    };
    Ok(AdmittedCall {
        service,
        customer,
        key,
        deadline,
        _guard: guard,
        view,
    })
}

/// Returns whether the key that admitted a call still works.
pub fn is_still_allowed(context: &ServeContext, service_id: &str, key: Option<&KeyHash>) -> bool {
    let Some(key) = key else {
        return true;
    };
    let view = context.shared.view();
    let Some((_, route)) = view.routes().service(service_id) else {
        return false;
    };
    view.routes().authorize(route, Some(key)).is_ok()
}

#[salvo::async_trait]
impl Handler for CallerHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let context = &self.context;
        let started = context.shared.metrics.durations.start_timer();
        let busy = context.shared.begin();
        let path = req.uri().path().to_owned();
        let (service, result) = match split_path(&path) {
            CallerPath::Lookup { service, rest } => {
                let result = lookup::call(context, service, rest, req, res, busy).await;
                (service.to_owned(), result)
            }
            CallerPath::Chat => generate::call(context, req, res, busy).await,
            CallerPath::Trainer { trainer, action } => {
                let result = trainers::call(context, trainer, action, req, res).await;
                (String::new(), result)
            }
            CallerPath::Other => (String::new(), Err(Refusal::not_found())),
        };
        // A connection that stays open would bring requests after the listener is gone.
        if context.shared.is_draining() && req.version() <= Version::HTTP_11 {
            set_header(res, "connection", "close");
        }
        let code = match &result {
            Ok(()) => "ok".to_owned(),
            Err(refusal) => {
                refusal.write(res);
                refusal.code().to_owned()
            }
        };
        // A service that doesn't exist must not make a label of its own.
        let known = context.shared.view().routes().service(&service).is_some();
        let service = if known { service.as_str() } else { "" };
        let requests = &context.shared.metrics.requests;
        requests.with_label_values(&[service, &code]).inc();
        started.observe_duration();
    }
}

enum CallerPath<'a> {
    Lookup { service: &'a str, rest: &'a str },
    Chat,
    Trainer { trainer: &'a str, action: &'a str },
    Other,
}

fn split_path(path: &str) -> CallerPath<'_> {
    if path == "/v1/chat/completions" {
        return CallerPath::Chat;
    }
    if let Some(rest) = path.strip_prefix("/s/") {
        let (service, rest) = match rest.find('/') {
            Some(end) => rest.split_at(end),
            None => (rest, "/"),
        };
        return CallerPath::Lookup { service, rest };
    }
    let trainer = path
        .strip_prefix("/v1/trainers/")
        .and_then(|it| it.split_once('/'));
    match trainer {
        Some((trainer, action)) => CallerPath::Trainer { trainer, action },
        None => CallerPath::Other,
    }
}
