//! Passes callers' calls from the frontend to the runtime.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use log::info;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::host::RouteMatch;
use wagtailledge_decisions::host::RouteResolution;
use wagtailledge_decisions::request::CallerRefusal;
use wagtailledge_decisions::request::CallerRequest;
use wagtailledge_decisions::request::RefusalOutcome;
use wagtailledge_decisions::request::RefusalReason;
use wagtailledge_decisions::request::RequestRepeat;
use wagtailledge_decisions::request::RequestTarget;
use wagtailledge_decisions::request::RouteTerms;
use wagtailledge_frontend::CallTarget;
use wagtailledge_frontend::CallerCall;
use wagtailledge_frontend::CallerGate;
use wagtailledge_frontend::CallerLimits;
use wagtailledge_frontend::CallerReply;
use wagtailledge_frontend::DepartureGuard;
use wagtailledge_inventory::AccountKey;
use wagtailledge_inventory::KeyDigest;
use wagtailledge_memory::MemoryBudget;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::calls::RetryTerms;
use crate::shell::EntryShell;
use crate::startup::StartupPlace;

/// Retry delay of callers refused by a host that has failed: other hosts can serve them at once.
const RETRY_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// Shortest retry delay of callers whose bodies did not fit; the longest is twice this time, so that they do not
/// return together. A model that requests wait for is loaded from a disk within it.
const RETRY_AFTER_MEMORY: Duration = Duration::from_secs(1);

/// The frontend's access to the runtime of this host.
#[derive(Debug)]
pub struct ShellGate {
    /// Runtime that serves the calls.
    pub shell: Rc<EntryShell>,
}

/// Target and terms of a call, looked up in the configuration.
struct ResolvedCall {
    target: RequestTarget,
    repeat: RequestRepeat,
    /// Time left until the call must be answered or refused.
    deadline: Option<Duration>,
    terms: Option<RouteTerms>,
    /// Key and name of the caller's account; `None` if it has none.
    account: Option<(AccountKey, String)>,
}

/// Why a call has no target.
enum UnresolvedCall {
    UnknownName,
    Unconfigured,
    UnknownKey,
}

impl From<UnresolvedCall> for CallerReply {
    fn from(unresolved: UnresolvedCall) -> Self {
        match unresolved {
            UnresolvedCall::UnknownName => Self::UnknownName,
            UnresolvedCall::Unconfigured => Self::Unconfigured,
            UnresolvedCall::UnknownKey => Self::UnknownKey,
        }
    }
}

impl ShellGate {
    /// Looks up account and target of a call. If a route matches, moves the call's prompt to its terms.
    /// If the configuration has accounts, removes the headers that identify the caller.
    fn resolve(&self, call: &mut CallerCall) -> Result<ResolvedCall, UnresolvedCall> {
        let deadline = call.deadline;
        self.shell.read(|reducer| {
            let catalog = reducer.catalog();
            let account = call.key.as_ref().and_then(|key| catalog.account_of(key));
            let name = account.map(|account| catalog.accounts[account].name.clone());
            if catalog.has_accounts() {
                call.remove_identity();
            }
            let account = account.zip(name);
            let without_route = |target, repeat| {
                if account.is_none() && catalog.has_accounts() {
                    return Err(UnresolvedCall::UnknownKey);
                }
                let account = account.clone();
                Ok(ResolvedCall { target, repeat, deadline, terms: None, account })
            };
            match &call.target {
                CallTarget::Model { name, .. } => {
                    let target = reducer.resolve_model(name).ok_or(UnresolvedCall::UnknownName)?;
                    without_route(target, RequestRepeat::Idempotent)
                }
                CallTarget::Service { name } => {
                    let (target, idempotent) = reducer
                        .resolve_service(name, call.method.as_str(), &call.path)
                        .ok_or(UnresolvedCall::UnknownName)?;
                    let key = account_key(call, account.as_ref().map(|(_, name)| name.as_str()));
                    let key = key.as_deref();
                    let repeat = reducer.service_repeat(name, idempotent, key, fingerprint(call));
                    without_route(target, repeat)
                }
                CallTarget::Route { host, asset } => {
                    let (asset, key) = (asset.as_deref(), account.as_ref().map(|(key, _)| *key));
                    match reducer.resolve_route(host, &call.path, asset, key, rand::random()) {
                        RouteResolution::Unconfigured => Err(UnresolvedCall::Unconfigured),
                        RouteResolution::Unknown => Err(UnresolvedCall::UnknownName),
                        RouteResolution::KeyNeeded => Err(UnresolvedCall::UnknownKey),
                        RouteResolution::Found(found) => {
                            let RouteMatch { target, repeat, timeout, mut terms } = *found;
                            terms.prompt = std::mem::take(&mut call.prompt);
                            terms.stream_id = (!call.request_id.is_empty()).then_some(call.caller);
                            terms.resumes = call.resumes;
                            let allowed =
                                deadline.map_or(timeout, |deadline| deadline.min(timeout));
                            let time_left = allowed.saturating_sub(call.arrived.elapsed());
                            let (deadline, terms) = (Some(time_left), Some(terms));
                            Ok(ResolvedCall { target, repeat, deadline, terms, account })
                        }
                    }
                }
            }
        })
    }
}

impl ShellGate {
    /// Serves a call once there is a configuration, or refuses it if there is none in time.
    fn serve_once_configured(
        &self,
        call: CallerCall,
        place: StartupPlace,
    ) -> LocalBoxFuture<'static, CallerReply> {
        let gate = Self { shell: Rc::clone(&self.shell) };
        async move {
            place.wait().await;
            drop(place);
            gate.serve_call(call, false).await
        }
        .boxed_local()
    }

    /// Logs the configuration by which a call has no target.
    fn log_unresolved(&self, call: &CallerCall, unresolved: &UnresolvedCall) {
        let reason = match unresolved {
            UnresolvedCall::UnknownName => "no such target",
            UnresolvedCall::Unconfigured => "no configuration yet",
            UnresolvedCall::UnknownKey => "unknown key",
        };
        let origin = self.shell.read(|reducer| reducer.configuration_origin().clone());
        let age_ms = self.shell.now().since(origin.since).as_millis() as u64;
        info!(
            target: "unresolved",
            host = self.shell.identity().name.as_str(), request = call.request_id.as_str(),
            path = call.path.as_str(), reason = reason, revision = origin.revision,
            age_ms = age_ms, source = origin.source.as_str();
            "{} at revision {}: {reason}", call.request_id, origin.revision
        );
    }
}

/// Idempotency key of a call, different for each account. Neither names of accounts nor idempotency keys
/// contain spaces.
fn account_key(call: &CallerCall, account: Option<&str>) -> Option<String> {
    let key = call.idempotency_key.as_ref()?;
    Some(account.map_or_else(|| key.clone(), |account| format!("{account} {key}")))
}

/// Hash of method, path and body, which a call with the same idempotency key must match.
fn fingerprint(call: &CallerCall) -> u64 {
    let mut hash = Xxh3::new();
    for part in [call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

/// Refusal of a call by a host that can't decide on it any more.
pub(crate) fn host_ends(outcome: RefusalOutcome) -> CallerRefusal {
    let reason = RefusalReason::HostEnds;
    CallerRefusal { outcome, reason, retry_after: RETRY_AFTER_FAILURE }
}

impl ShellGate {
    /// Serves or refuses a call. `may_wait` says whether it may wait for the first configuration.
    fn serve_call(
        &self,
        mut call: CallerCall,
        may_wait: bool,
    ) -> LocalBoxFuture<'static, CallerReply> {
        if self.shell.has_failed() {
            let reply = CallerReply::Refusal(host_ends(RefusalOutcome::NotRun));
            return futures::future::ready(reply).boxed_local();
        }
        let resolved = match self.resolve(&mut call) {
            Ok(resolved) => resolved,
            Err(unresolved) => {
                let waits = may_wait && matches!(unresolved, UnresolvedCall::Unconfigured);
                let startup = &self.shell.startup;
                let place = waits.then(|| startup.enter(call.body.len(), call.deadline)).flatten();
                if let Some(place) = place {
                    self.shell.parts.metrics.count("request.startup_wait");
                    return self.serve_once_configured(call, place);
                }
                self.log_unresolved(&call, &unresolved);
                if matches!(unresolved, UnresolvedCall::UnknownKey) {
                    self.shell.parts.metrics.count("account.unknown_key");
                }
                return futures::future::ready(unresolved.into()).boxed_local();
            }
        };
        let ResolvedCall { target, repeat, deadline, terms, account } = resolved;
        let (account, account_name) = account.unzip();
        let retry_terms = RetryTerms {
            repeatable: repeat == RequestRepeat::Idempotent,
            streaming: terms.as_ref().is_some_and(|terms| terms.streaming),
            resumable: terms.as_ref().is_some_and(|terms| terms.resumable),
        };
        let caller = call.caller;
        let latest_reply = deadline.map(|time_left| Instant::now() + time_left);
        let shell = Rc::clone(&self.shell);
        let mut calls = shell.calls.borrow_mut();
        let (ticket, reply) = calls.open(call, account_name, latest_reply, retry_terms);
        drop(calls);
        let request = CallerRequest { ticket, target, repeat, deadline, caller, account, terms };
        shell.submit(HostEvent::RequestArrived(request));
        async move {
            let guard_shell = Rc::clone(&shell);
            let mut guard = DepartureGuard::new(move || {
                guard_shell.submit(HostEvent::CallerDisconnected(ticket));
            });
            let reply = reply.await;
            guard.disarm();
            // The responder is dropped without a reply only when this host ends or has failed.
            reply.unwrap_or(CallerReply::Refusal(host_ends(RefusalOutcome::Unknown)))
        }
        .boxed_local()
    }
}

impl CallerGate for ShellGate {
    fn serve(&self, call: CallerCall) -> LocalBoxFuture<'static, CallerReply> {
        self.serve_call(call, true)
    }

    fn admits(&self, key: Option<&KeyDigest>) -> bool {
        self.shell.read(|reducer| {
            let catalog = reducer.catalog();
            !catalog.has_accounts() || key.is_some_and(|key| catalog.account_of(key).is_some())
        })
    }

    fn model_names(&self) -> Vec<String> {
        self.shell.read(|reducer| reducer.catalog().public_names().map(str::to_owned).collect())
    }

    fn is_ready(&self) -> bool {
        !self.shell.has_failed() && self.shell.read(wagtailledge_decisions::HostReducer::is_ready)
    }

    fn is_draining(&self) -> bool {
        self.shell.read(wagtailledge_decisions::HostReducer::is_draining)
    }

    fn body_budget(&self) -> &Arc<MemoryBudget> {
        &self.shell.parts.bodies
    }

    fn refuse_body(&self, request_id: &str) -> CallerRefusal {
        let held = self.shell.parts.bodies.used();
        self.shell.parts.metrics.count("request.body_refused");
        info!(
            target: "unresolved",
            host = self.shell.identity().name.as_str(), request = request_id,
            reason = "no memory for its body", held = held;
            "{request_id}: no memory for its body, those of other requests hold {held} bytes"
        );
        let spread = xxh3_64(request_id.as_bytes()) as f64 / u64::MAX as f64;
        CallerRefusal {
            outcome: RefusalOutcome::NotRun,
            reason: RefusalReason::HostMemory,
            retry_after: RETRY_AFTER_MEMORY.mul_f64(1.0 + spread),
        }
    }

    fn limits(&self) -> CallerLimits {
        self.shell.read(|reducer| {
            let rules = &reducer.catalog().rules;
            CallerLimits {
                body: rules.max_body.0 as usize,
                body_timeout: rules.head_timeout.0,
                idle_timeout: rules.idle_timeout.0,
            }
        })
    }
}
