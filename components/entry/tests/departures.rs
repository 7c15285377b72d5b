//! Callers that disconnect while their call is in progress.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::future::ready;
use hyper::HeaderMap;
use support::NoStore;
use support::call;
use support::wait_until;
use tokio::sync::Notify;
use wagtailledge_decisions::HostEvent;
use wagtailledge_decisions::event::AttemptOutcome;
use wagtailledge_decisions::event::UpstreamLoad;
use wagtailledge_decisions::event::UpstreamReach;
use wagtailledge_entry::EntryShell;
use wagtailledge_entry::ShellGate;
use wagtailledge_frontend::CallerGate;
use wagtailledge_upstreams::AnswerHead;
use wagtailledge_upstreams::CallEvent;
use wagtailledge_upstreams::UpstreamCall;
use wagtailledge_upstreams::UpstreamCaller;

/// Number of parts of an answer: more than are buffered for a slow caller.
const ANSWER_PARTS: usize = 40;

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
    support::shell(Rc::new(NoStore), Rc::<SlowUpstream>::clone(upstream))
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
