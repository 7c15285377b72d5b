//! Reducer that makes every routing, placement and membership decision.
//!
//! An entry host receives callers' requests and sends them to upstreams. An upstream is either an
//! engine, which loads models and adapters, or an instance of a plain service.
//!
//! The crate does no I/O and reads no clock, and all randomness comes from a seed that is passed
//! in. The same code runs in an entry host, in the fuzzer and in a replay.
//!
//! - [`host`]: the reducer, which dispatches each event to the modules below.
//! - [`event`], [`effect`]: inputs and outputs of the reducer.
//! - [`message`]: messages between entry hosts.
//! - [`order`]: orders to engines.
//! - [`store`], [`registry`]: calls to the key-value service, and the pending ones by purpose.
//! - [`era`]: versions of a key-value service that came back from an earlier copy.
//! - [`admission`]: open requests and the queue of waiting requests.
//! - [`routing`]: replicas of all scopes; load and health of upstreams.
//! - [`quarantine`]: prompt parts that crash upstreams.
//! - [`reachability`]: zones and upstreams that cannot be reached.
//! - [`software`]: software versions of upstreams, and which one began a stream.
//! - [`limits`]: limits that upstreams set on the requests of all hosts together.
//! - [`quota`]: quotas of accounts over all hosts.
//! - [`retry`]: retry budget of a host.
//! - [`ledger`]: records that prevent a non-idempotent call from running twice.
//! - [`lease`]: election of the leader of a scope.
//! - [`placement`]: assets that a leader loads and unloads.
//! - [`configuration`]: configuration in force and its exchange between hosts.
//! - [`discovery`]: upstreams that register with the platform.
//! - [`membership`]: known entry hosts and upstreams.
//! - [`relay`]: when a host asks the platform's store, and when its leader does so for it.

pub mod admission;
pub mod configuration;
pub mod discovery;
pub mod effect;
pub mod era;
pub mod event;
pub mod host;
pub mod identity;
pub mod lease;
pub mod ledger;
pub mod limits;
pub mod membership;
pub mod message;
pub mod order;
pub mod placement;
pub mod quarantine;
pub mod quota;
pub mod reachability;
pub mod registry;
pub mod relay;
pub mod request;
pub mod retry;
pub mod routing;
pub mod software;
pub mod store;
pub mod table;
pub mod time;
pub mod timing;

pub use effect::HostEffect;
pub use event::HostEvent;
pub use host::HostReducer;
pub use identity::HostIdentity;
pub use time::Moment;
pub use timing::TimingRules;
