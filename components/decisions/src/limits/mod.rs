//! Limits that upstreams set on the requests of all hosts together.

mod notice;

pub use notice::LimitNotice;
pub use notice::RequestRate;
