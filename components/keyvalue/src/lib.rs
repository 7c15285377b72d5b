//! Clients of two platform services: the key-value service and the host list.
//!
//! Only this crate depends on their wire formats. Other crates use both as trait objects, so that
//! another platform needs only other implementations of the traits.

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

/// Client of the platform's key-value service.
pub trait KeyValueService: fmt::Debug {
    /// Executes one call. Returns [`StoreOutcome::Failed`] if no valid answer arrives in time.
    fn call(&self, op: StoreOp) -> LocalBoxFuture<'static, StoreOutcome>;
}

/// Client of the platform's host list.
pub trait HostListService: fmt::Debug {
    /// Reads the list. Returns `None` if it is unreachable or not readable.
    fn list(&self) -> LocalBoxFuture<'static, Option<Vec<ListedHost>>>;
}
