//! Replica placement: the leader of a scope decides which engine loads and unloads which asset.
//!
//! A scope is one or more availability zones that one leader places replicas for. An asset is a
//! model or an adapter, and a replica is one asset on one engine. A replica counts from the moment
//! its load order may have been sent until its engine no longer reports it. An engine that has not
//! reported its resident assets in this epoch may have any asset resident. A claim is an order that
//! makes an engine accept the leader's fencing token and return such a report; it loads and unloads
//! nothing.
//!
//! - `state`: the leader's state and the replica table that it publishes to entry hosts.
//! - `engine`: the last known state of one engine.
//! - `orders`: sending load, unload and claim orders, and applying their outcomes.
//! - `reports`: applying engine reports and scheduling the next claim.
//! - `plan`: loading replicas for waiting requests and unloading idle ones.
//! - `choose`: selecting the engine for a replica and the replicas evicted for it.
//! - `survey`, `summary`: snapshots that a plan takes once, of the scope and of each engine.
//! - `scaling`: further replicas of assets with a high request rate.
//! - `demand`, `usage`: waiting requests and request rates of each asset.
//! - `budget`: rate and concurrency limits of loads from the weight store.
//! - `scopes`: which scope is responsible for placing an asset.

mod budget;
mod choose;
mod demand;
mod engine;
mod orders;
mod plan;
mod reports;
mod scaling;
mod scopes;
mod state;
mod summary;
mod survey;
mod usage;

pub use demand::DemandTable;
pub use engine::EngineState;
pub use engine::ReplicaPhase;
pub use scopes::ScopeReachability;
pub use state::PlacementContext;
pub use state::PlacementState;
pub use usage::UsageTable;
