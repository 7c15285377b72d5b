//! Adapters for the platform: key-value service and host list.
//!
//! Only this crate knows the platform's wire formats. Both services are trait objects, so that
//! another platform takes another adapter and nothing else.

mod etcd;
mod hosts;

use std::fmt;

use futures::future::LocalBoxFuture;
use wagtailledge_decisions::event::ListedHost;
use wagtailledge_decisions::store::StoreOp;
use wagtailledge_decisions::store::StoreOutcome;

pub use etcd::EtcdService;
pub use hosts::HostEntry;
pub use hosts::HttpHostList;

/// The platform's key-value service.
pub trait KeyValueService: fmt::Debug {
    /// Carries out one call. A call without an answer in time ends as `Failed`.
    fn call(&self, op: StoreOp) -> LocalBoxFuture<'static, StoreOutcome>;
}

/// The platform's host list.
pub trait HostListService: fmt::Debug {
    /// Reads the list; `None` when it cannot be had now.
    fn list(&self) -> LocalBoxFuture<'static, Option<Vec<ListedHost>>>;
}
