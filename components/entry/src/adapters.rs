//! Interfaces of an entry host to the outside, whose implementations the platform determines.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use wagtailledge_decisions::HostEvent;
use wagtailledge_frontend::IngressDialect;
use wagtailledge_keyvalue::EtcdService;
use wagtailledge_keyvalue::HostListService;
use wagtailledge_keyvalue::HttpHostList;
use wagtailledge_keyvalue::KeyValueService;
use wagtailledge_memory::MemoryBudget;
use wagtailledge_settings::HostSettings;
use wagtailledge_upstreams::ConnectionPool;
use wagtailledge_upstreams::HttpUpstreams;
use wagtailledge_upstreams::JsonOrders;
use wagtailledge_upstreams::OpenAiDialect;
use wagtailledge_upstreams::OrderSender;
use wagtailledge_upstreams::UpstreamCaller;

use crate::shell::EntryShell;

/// Time between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two polls of the upstreams' load.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Submits events from outside the process to the reducer, for example changes of the host list.
pub trait EventSource: fmt::Debug {
    /// Submits events to `shell` until the process ends.
    fn run(self: Box<Self>, shell: Rc<EntryShell>) -> LocalBoxFuture<'static, ()>;
}

/// Protocol that the frontend offers to callers.
#[derive(Debug)]
pub enum HostFrontend {
    /// The completion API and plain services.
    Completions,
    /// Any HTTP request, forwarded by the routes of the configuration.
    Relay {
        /// Reads request heads and writes refusals.
        dialect: Rc<dyn IngressDialect>,
        /// Listening address for readiness checks.
        readiness: SocketAddr,
    },
}

/// Implementations of everything that an entry host exchanges with the outside.
#[derive(Debug)]
pub struct HostAdapters {
    /// Client of the key-value service.
    pub store: Rc<dyn KeyValueService>,
    /// Sends requests to upstreams.
    pub upstreams: Rc<dyn UpstreamCaller>,
    /// Sends orders to engines.
    pub orders: Rc<dyn OrderSender>,
    /// Sources of events; each runs in a task of its own.
    pub sources: Vec<Box<dyn EventSource>>,
    /// Protocol of the callers' HTTP server.
    pub frontend: HostFrontend,
}

/// Adapters for etcd, a host list over HTTP and upstreams with the completion API.
pub fn etcd_adapters(settings: &HostSettings) -> HostAdapters {
    let platform = &settings.platform;
    let timeout = platform.timeout.0;
    let budget = MemoryBudget::new(settings.limits.answers.0 as usize);
    let upstreams = HttpUpstreams::new(ConnectionPool::default(), Rc::new(OpenAiDialect), budget);
    let list = HttpHostList::new(&platform.host_list, timeout);
    HostAdapters {
        store: Rc::new(EtcdService::new(&platform.key_value, timeout)),
        upstreams: Rc::new(upstreams),
        orders: Rc::new(JsonOrders::new(ConnectionPool::default())),
        sources: vec![Box::new(HostListPoller { list }), Box::new(LoadPoller)],
        frontend: HostFrontend::Completions,
    }
}

/// Reads the host list periodically.
#[derive(Debug)]
struct HostListPoller {
    list: HttpHostList,
}

impl EventSource for HostListPoller {
    fn run(self: Box<Self>, shell: Rc<EntryShell>) -> LocalBoxFuture<'static, ()> {
        async move {
            loop {
                let requested_at = shell.now();
                if let Some(hosts) = self.list.list().await {
                    shell.submit(HostEvent::HostListRead(requested_at, hosts));
                }
                sleep(HOST_LIST_INTERVAL).await;
            }
        }
        .boxed_local()
    }
}

/// Polls the load of the recently used upstreams periodically.
#[derive(Debug)]
struct LoadPoller;

impl EventSource for LoadPoller {
    fn run(self: Box<Self>, shell: Rc<EntryShell>) -> LocalBoxFuture<'static, ()> {
        async move {
            loop {
                for (key, address) in shell.load_targets() {
                    let report = shell.parts.upstreams.load(address);
                    let shell = Rc::clone(&shell);
                    actix_rt::spawn(async move {
                        if let Some(load) = report.await {
                            shell.submit(HostEvent::LoadReport(key, load));
                        }
                    });
                }
                sleep(LOAD_INTERVAL).await;
            }
        }
        .boxed_local()
    }
}
