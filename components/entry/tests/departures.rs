//! Callers that disconnect while their call is in progress.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::future::ready;
use hyper::HeaderMap;
use hyper::Method;
use tokio::sync::Notify;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::HostIdentity;
use wagtailledge_decisions::TimingRules;
use wagtailledge_decisions::configuration::to_items;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::ListedHost;
use wagtailledge_decisions::event::ListedState;
use wagtailledge_decisions::event::UpstreamLoad;
use wagtailledge_decisions::event::UpstreamReach;
use wagtailledge_decisions::order::OrderOutcome;
use wagtailledge_decisions::request::PromptShape;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;
use wagtailledge_entry::EntryShell;
use wagtailledge_entry::ShellGate;
use wagtailledge_entry::ShellParts;
use wagtailledge_entry::metrics::HostMetrics;
use wagtailledge_frontend::CallTarget;
use wagtailledge_frontend::CallerCall;
use wagtailledge_frontend::CallerGate;
use wagtailledge_inventory::parse::parse_inventory;
use wagtailledge_keyvalue::KeyValueService;
use wagtailledge_peers::MessageSeal;
use wagtailledge_peers::PeerClient;
use wagtailledge_upstreams::AnswerHead;
use wagtailledge_upstreams::CallEvent;
use wagtailledge_upstreams::OrderReply;
use wagtailledge_upstreams::OrderRequest;
use wagtailledge_upstreams::OrderSender;
use wagtailledge_upstreams::OrderTarget;
use wagtailledge_upstreams::UpstreamCall;
use wagtailledge_upstreams::UpstreamCaller;
use wagtailledge_upstreams::WritePermit;

/// Longest wait for a condition; tests normally need far less.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Number of parts of an answer: more than are buffered for a slow caller.
const ANSWER_PARTS: usize = 40;

const INVENTORY: &str = r#"
[[class]]
name = "control"
rank = 0
deadline = "60s"
[[service]]
name = "fans"
class = "control"
[[service.instance]]
name = "fans-1"
zone = "east"
address = "127.0.0.1:9"
[[route]]
name = "fans"
host = "fans.example"
prefix = "/"
kind = "non-idempotent"
timeout = "60s"
objective = "1s"
rank = 0
attempts = 1
to = [{ service = "fans", weight = 1 }]
"#;

#[derive(Debug)]
struct NoStore;

impl KeyValueService for NoStore {
    fn call(&self, _: StoreOp) -> LocalBoxFuture<'static, StoreOutcome> {
        ready(StoreOutcome::Failed).boxed_local()
    }
}

#[derive(Debug)]
struct NoOrders;

impl OrderSender for NoOrders {
    fn send(
        &self,
        _: OrderTarget,
        _: OrderRequest,
        _: WritePermit,
    ) -> LocalBoxFuture<'static, OrderReply> {
        ready(OrderOutcome::NotSent.into()).boxed_local()
    }
}

/// Starts an answer of [`ANSWER_PARTS`] parts once `begin` is notified.
#[derive(Debug, Default)]
struct SlowUpstream {
    begin: Notify,
    ended: Cell<bool>,
}

impl UpstreamCaller for SlowUpstream {
    fn call<'a>(
        &'a self,
        _: UpstreamCall,
        on_event: &'a mut dyn FnMut(CallEvent) -> LocalBoxFuture<'static, bool>,
    ) -> LocalBoxFuture<'a, AttemptOutcome> {
        async move {
            self.begin.notified().await;
            let head = AnswerHead { status: 200, headers: HeaderMap::new() };
            let mut is_read = on_event(CallEvent::Started(head)).await;
            for _ in 0..ANSWER_PARTS {
                is_read = is_read && on_event(CallEvent::Part(Bytes::from("part"), None)).await;
            }
            self.ended.set(true);
            if is_read { AttemptOutcome::Streamed } else { AttemptOutcome::Broken }
        }
        .boxed_local()
    }

    fn load(&self, _: SocketAddr) -> LocalBoxFuture<'static, Option<UpstreamLoad>> {
        ready(None).boxed_local()
    }

    fn check(&self, _address: SocketAddr) -> LocalBoxFuture<'static, UpstreamReach> {
        futures::future::ready(UpstreamReach::Listening).boxed_local()
    }

    fn sweep(&self) {}
}

fn shell(upstream: &Rc<SlowUpstream>) -> Rc<EntryShell> {
    let parts = ShellParts {
        store: Rc::new(NoStore),
        upstreams: Rc::<SlowUpstream>::clone(upstream),
        orders: Rc::new(NoOrders),
        peers: PeerClient::new(MessageSeal::new("a secret of this test")),
        metrics: Rc::new(HostMetrics::new(None).unwrap()),
        max_answer_bytes: 16,
        stream_pause: MAX_WAIT,
    };
    let identity = HostIdentity {
        name: "east-1".to_owned(),
        zone: "east".to_owned(),
        scope: "east".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        incarnation: 1,
        capacity: 0,
    };
    let shell = EntryShell::new(parts, identity, TimingRules::default(), 1);
    let document = parse_inventory("test", INVENTORY).unwrap();
    shell.submit(HostEvent::Inventory(1, to_items(&document)));
    let listed = ListedHost {
        name: "fans-1".to_owned(),
        zone: "east".to_owned(),
        scope: "east".to_owned(),
        peer_address: String::new(),
        capacity: 0,
        state: ListedState::Live,
    };
    shell.submit(HostEvent::HostListRead(shell.now(), vec![listed]));
    shell
}

fn call() -> CallerCall {
    CallerCall {
        request_id: "one".to_owned(),
        target: CallTarget::Route { host: "fans.example".to_owned(), asset: None },
        method: Method::POST,
        path: "/start".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        arrived: Instant::now(),
        deadline: None,
        prompt: PromptShape::default(),
        resumes: None,
        idempotency_key: None,
        caller: 1,
    }
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < MAX_WAIT, "condition still false after {MAX_WAIT:?}");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn can_end_a_call_whose_answer_starts_after_its_caller_disconnected() {
    actix_rt::System::new().block_on(async {
        let upstream = Rc::new(SlowUpstream::default());
        let shell = shell(&upstream);
        let gate = ShellGate { shell: Rc::clone(&shell) };
        let mut reply = gate.serve(call());
        assert!((&mut reply).now_or_never().is_none());
        drop(reply);
        // The call may not run twice, so it is not cancelled when its caller disconnects.
        assert_eq!(shell.status().requests, 1);
        upstream.begin.notify_one();
        wait_until(|| shell.status().requests == 0).await;
        assert!(upstream.ended.get());
        shell.sweep();
        shell.submit(HostEvent::Tick);
    });
}

#[test]
fn can_remove_a_call_whose_forwarded_answer_was_never_read() {
    actix_rt::System::new().block_on(async {
        let upstream = Rc::new(SlowUpstream::default());
        let shell = shell(&upstream);
        let gate = ShellGate { shell: Rc::clone(&shell) };
        let reply = gate.serve(call());
        let task = actix_rt::spawn(reply);
        upstream.begin.notify_one();
        // The answer is forwarded to a caller that never reads it and then disconnects.
        let reply = task.await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        shell.sweep();
        drop(reply);
        wait_until(|| shell.status().requests == 0).await;
        shell.sweep();
        shell.submit(HostEvent::Tick);
    });
}
