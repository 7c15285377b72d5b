//! The process of one entry host: runs the reducer, its network I/O and its timers.
//!
//! - [`adapters`]: the connections to the outside that an entry host is built from.
//! - [`shell`]: the runtime, which turns I/O into events and executes effects.
//! - [`startup`]: requests that arrive before the first configuration.
//! - [`rules`]: the rules of the reducer from the settings.
//! - [`run`]: starts an entry host, and drains it before the process ends.

pub mod adapters;
mod calls;
mod dispatch;
mod effects;
mod gate;
mod log_records;
mod memory;
pub mod metrics;
pub mod rules;
pub mod run;
mod scrape;
pub mod shell;
pub mod startup;
mod streams;

pub use adapters::EventSource;
pub use adapters::HostAdapters;
pub use adapters::HostFrontend;
pub use adapters::etcd_adapters;
pub use gate::ShellGate;
pub use run::EntryHost;
pub use run::StartError;
pub use shell::EntryShell;
pub use shell::ShellParts;
