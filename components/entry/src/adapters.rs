//! What an entry host is put together from.

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
use wagtailledge_settings::HostSettings;
use wagtailledge_upstreams::ConnectionPool;
use wagtailledge_upstreams::HttpUpstreams;
use wagtailledge_upstreams::JsonOrders;
use wagtailledge_upstreams::OpenAiDialect;
use wagtailledge_upstreams::OrderSender;
use wagtailledge_upstreams::UpstreamCaller;

use crate::shell::EntryShell;

/// Between two reads of the host list.
const HOST_LIST_READ: Duration = Duration::from_secs(1);
/// Between two reads of load reports.
const LOAD_READ: Duration = Duration::from_millis(500);

/// Tells the reducer what happens outside, for as long as the process lives.
pub trait EventSource: fmt::Debug {
    /// Runs until the process ends.
    fn run(self: Box<Self>, shell: Rc<EntryShell>) -> LocalBoxFuture<'static, ()>;
}

/// What callers speak.
#[derive(Debug)]
pub enum HostFront {
    /// The completion API and plain services.
    Completions,
    /// Requests are passed through by routes.
    Relay {
        /// How they are written.
        dialect: Rc<dyn IngressDialect>,
        /// Address for readiness checks.
        readiness: SocketAddr,
    },
}

/// Everything through which an entry host speaks to the outside.
#[derive(Debug)]
pub struct HostAdapters {
    /// The key-value service.
    pub store: Rc<dyn KeyValueService>,
    /// Calls to upstreams.
    pub upstreams: Rc<dyn UpstreamCaller>,
    /// Orders to engines.
    pub orders: Rc<dyn OrderSender>,
    /// What tells the reducer of the outside.
    pub sources: Vec<Box<dyn EventSource>>,
    /// What callers speak.
    pub front: HostFront,
}

/// Adapters for etcd, a host list and the project's own upstreams.
pub fn etcd_adapters(settings: &HostSettings) -> HostAdapters {
    let platform = &settings.platform;
    let timeout = platform.timeout.0;
    let pool = ConnectionPool::default();
    let upstreams = HttpUpstreams::new(pool.clone(), Rc::new(OpenAiDialect));
    let list = HttpHostList::new(&platform.host_list, timeout);
    HostAdapters {
        store: Rc::new(EtcdService::new(&platform.key_value, timeout)),
        upstreams: Rc::new(upstreams),
        orders: Rc::new(JsonOrders::new(pool)),
        sources: vec![Box::new(HostListFeed { list }), Box::new(LoadFeed)],
        front: HostFront::Completions,
    }
}

/// Reads the host list again and again.
#[derive(Debug)]
struct HostListFeed {
    list: HttpHostList,
}

impl EventSource for HostListFeed {
    fn run(self: Box<Self>, shell: Rc<EntryShell>) -> LocalBoxFuture<'static, ()> {
        async move {
            loop {
                let asked = shell.now();
                if let Some(hosts) = self.list.list().await {
                    shell.submit(HostEvent::Hosts(asked, hosts));
                }
                sleep(HOST_LIST_READ).await;
            }
        }
        .boxed_local()
    }
}

/// Reads the load of the upstreams in use again and again.
#[derive(Debug)]
struct LoadFeed;

impl EventSource for LoadFeed {
    fn run(self: Box<Self>, shell: Rc<EntryShell>) -> LocalBoxFuture<'static, ()> {
        async move {
            loop {
                for (key, address) in shell.load_targets() {
                    let report = shell.parts.upstreams.load(address);
                    let shell = Rc::clone(&shell);
                    actix_rt::spawn(async move {
                        if let Some(load) = report.await {
                            shell.submit(HostEvent::Load(key, load));
                        }
                    });
                }
                sleep(LOAD_READ).await;
            }
        }
        .boxed_local()
    }
}
