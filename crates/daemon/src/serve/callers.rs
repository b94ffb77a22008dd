//! Listener for callers and trainers: routing by path, authorization and admission.

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

/// Routes requests of callers and trainers by path and counts their results.
pub struct CallerHandler {
    /// State shared with the other listeners.
    pub context: Arc<ServeContext>,
}

/// A request that passed authorization and the customer's limits.
pub struct AdmittedCall {
    /// View by which the request was admitted; it stays in use until the request ends.
    pub view: Arc<TrafficView>,
    /// Key of the called service in `view`.
    pub service: ServiceKey,
    /// Customer to be charged, or `None` for a request without a key on an open route.
    pub customer: Option<CustomerKey>,
    /// Hash of the caller's key, to check during a stream whether it was withdrawn.
    pub key: Option<KeyHash>,
    /// Time by which the response must be complete.
    pub deadline: ClockTime,
    /// Counts towards the customer's concurrency limit until it is dropped.
    pub _guard: Option<CustomerGuard>,
}

impl AdmittedCall {
    /// Returns the route of the called service.
    pub fn service(&self) -> Option<&ServiceRoute> {
        self.view.routes().service_at(self.service)
    }

    /// Charges the customer for a complete response of `tokens` tokens; callers without a
    /// key aren't charged.
    pub fn charge(&self, tokens: u64) {
        let customer = self.customer;
        let counter =
            customer.and_then(|customer| self.view.config.usage_counter(customer, self.service));
        if let Some(counter) = counter {
            counter.charge(tokens);
        }
    }

    /// Returns the customer's ID and weight for fair queueing; all callers without a key
    /// share an empty ID with weight 1.
    pub fn customer_id(&self) -> (&str, u32) {
        let customer = self
            .customer
            .and_then(|key| self.view.routes().customer(key));
        customer.map_or(("", 1), |customer| {
            (customer.id.as_str(), customer.row.weight)
        })
    }
}

/// Admits a request for `service_id` that came with `key`: checks the key, that the view is
/// confirmed, and the customer's limits.
///
/// # Errors
///
/// Returns the refusal to answer with; nothing has been sent to a target.
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
        return Err(Refusal::not_confirmed());
    }
    let deadline = time + route.deadline_ms;
    let guard = match customer.and_then(|customer| view.config.customers.get(customer)) {
        Some(limiter) => Some(limiter.admit(time).ok_or_else(Refusal::customer_limit)?),
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

/// Returns whether a key may still call the service by the current view; requests without
/// a key may always.
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
        let in_progress = context.shared.begin_request();
        let path = req.uri().path().to_owned();
        let (service, result) = match split_path(&path) {
            CallerPath::Lookup { service, rest } => {
                let result = lookup::call(context, service, rest, req, res, in_progress).await;
                (service.to_owned(), result)
            }
            CallerPath::Chat => generate::call(context, req, res, in_progress).await,
            CallerPath::Trainer { trainer, action } => {
                let result = trainers::call(context, trainer, action, req, res).await;
                (String::new(), result)
            }
            CallerPath::Other => (String::new(), Err(Refusal::not_found())),
        };
        // While draining, close connections after their response: a kept-alive connection
        // would bring further requests after the listener has stopped.
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
        // An unknown service is counted under an empty label, so that callers can't create
        // an unbounded number of label values.
        let known = context.shared.view().routes().service(&service).is_some();
        let service = if known { service.as_str() } else { "" };
        let requests = &context.shared.metrics.requests;
        requests.with_label_values(&[service, &code]).inc();
        started.observe_duration();
    }
}

/// Kind of a request, according to its path.
enum CallerPath<'a> {
    /// Request to a service, with the path that the target gets.
    Lookup { service: &'a str, rest: &'a str },
    /// Generation by an engine.
    Chat,
    /// Request of a trainer.
    Trainer { trainer: &'a str, action: &'a str },
    /// Path without a handler.
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
        .and_then(|rest| rest.split_once('/'));
    match trainer {
        Some((trainer, action)) => CallerPath::Trainer { trainer, action },
        None => CallerPath::Other,
    }
}
