//! Panics in the code that decides, and in the tasks without which a host can't serve.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::future::ready;
use support::NoOrders;
use support::NoStore;
use support::call;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::UpstreamLoad;
use wagtailledge_decisions::event::UpstreamReach;
use wagtailledge_decisions::request::RefusalOutcome;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;
use wagtailledge_entry::EntryHost;
use wagtailledge_entry::EntryShell;
use wagtailledge_entry::EventSource;
use wagtailledge_entry::HostAdapters;
use wagtailledge_entry::HostFrontend;
use wagtailledge_entry::ShellGate;
use wagtailledge_frontend::CallerGate;
use wagtailledge_frontend::CallerReply;
use wagtailledge_keyvalue::KeyValueService;
use wagtailledge_settings::file::parse_settings;
use wagtailledge_upstreams::CallEvent;
use wagtailledge_upstreams::UpstreamCall;
use wagtailledge_upstreams::UpstreamCaller;

/// Settings of a host that has ten seconds to drain.
const SETTINGS: &str = r#"
[host]
name = "east-1"
zone = "east"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
key_value = "http://127.0.0.1:9"
host_list = "http://127.0.0.1:9/hosts"
[security]
shared_secret = "0123456789abcdef"
[drain]
notice = "10s"
grace = "20s"
"#;

/// Key-value service whose client panics, as the reducer would in the same call.
#[derive(Debug, Default)]
struct PanickingStore {
    calls: Cell<u32>,
}

impl KeyValueService for PanickingStore {
    fn call(&self, _: StoreOp) -> LocalBoxFuture<'static, StoreOutcome> {
        self.calls.set(self.calls.get() + 1);
        panic!("a panic of this test");
    }
}

/// Source of events that panics at once.
#[derive(Debug)]
struct PanickingSource;

impl EventSource for PanickingSource {
    fn run(self: Box<Self>, _: Rc<EntryShell>) -> LocalBoxFuture<'static, ()> {
        async { panic!("a panic of this test") }.boxed_local()
    }
}

/// Upstream that never answers.
#[derive(Debug)]
struct SilentUpstream;

impl UpstreamCaller for SilentUpstream {
    fn call<'a>(
        &'a self,
        _: UpstreamCall,
        _: &'a mut dyn FnMut(CallEvent) -> LocalBoxFuture<'static, bool>,
    ) -> LocalBoxFuture<'a, AttemptOutcome> {
        futures::future::pending().boxed_local()
    }

    fn load(&self, _: SocketAddr) -> LocalBoxFuture<'static, Option<UpstreamLoad>> {
        ready(None).boxed_local()
    }

    fn check(&self, _: SocketAddr) -> LocalBoxFuture<'static, UpstreamReach> {
        ready(UpstreamReach::Silent).boxed_local()
    }

    fn sweep(&self) {}
}

/// Guards against a host that decides nothing any more after a panic and says that it is ready.
#[test]
fn can_fail_a_host_whose_reducer_panicked() {
    actix_rt::System::new().block_on(async {
        let store = Rc::new(PanickingStore::default());
        let calls = Rc::clone(&store);
        let shell = support::shell(store, Rc::new(SilentUpstream));
        let gate = ShellGate { shell: Rc::clone(&shell) };
        let open = actix_rt::spawn(gate.serve(call()));
        assert!(gate.is_ready());
        let ticking = Rc::clone(&shell);
        // The tick that reads the lease; a panic that gets this far ends only this task.
        let ticks = actix_rt::spawn(async move {
            for _ in 0..2 {
                ticking.submit(HostEvent::Tick);
            }
        });
        let _ = ticks.await;
        assert_eq!(calls.calls.get(), 1, "nothing is decided after a panic");
        assert!(!gate.is_ready());
        assert!(shell.failure().now_or_never().is_some(), "the process learns that it must end");
        let refused = gate.serve(call()).await;
        let CallerReply::Refusal(refusal) = refused else { panic!("{refused:?}") };
        assert_eq!(refusal.outcome, RefusalOutcome::NotRun);
        assert!(!open.is_finished(), "an open call ends with its connection");
    });
}

/// Guards against a host that goes on without a task that it needs.
#[test]
fn can_fail_a_host_whose_event_source_panicked() {
    actix_rt::System::new().block_on(async {
        let settings = parse_settings("test.toml", SETTINGS).unwrap();
        let adapters = HostAdapters {
            store: Rc::new(NoStore),
            upstreams: Rc::new(SilentUpstream),
            orders: Rc::new(NoOrders),
            sources: vec![Box::new(PanickingSource)],
            frontend: HostFrontend::Completions,
        };
        let host = EntryHost::start(&settings, adapters).await.unwrap();
        host.failure().await;
        assert!(host.shell().has_failed());
        // Nothing is left to be drained.
        let started = Instant::now();
        host.drain().await;
        assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    });
}
