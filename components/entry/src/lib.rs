//! The running entry host: sockets and timers around the reducer.
//!
//! - [`adapters`]: what it is put together from.
//! - [`shell`]: turns I/O into events and carries out effects.
//! - [`run`]: starts an entry host and ends it without cutting anything off.

pub mod adapters;
mod calls;
mod dispatch;
mod effects;
mod gate;
pub mod metrics;
mod notes;
pub mod run;
mod scrape;
pub mod shell;

pub use adapters::EventSource;
pub use adapters::HostAdapters;
pub use adapters::HostFront;
pub use adapters::etcd_adapters;
pub use gate::ShellGate;
pub use run::EntryHost;
pub use run::StartError;
pub use shell::EntryShell;
pub use shell::ShellParts;
