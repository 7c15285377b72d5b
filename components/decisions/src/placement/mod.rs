//! What the leader of a scope loads and unloads.
//!
//! A replica counts from the moment its load order may have been sent until its engine lists it no
//! longer. An engine that has not said what it holds in this epoch may hold anything.
//!
//! - `state`: the leader's state, and what of it routers see.
//! - `engine`: what is known of one engine.
//! - `orders`: orders, and what their answers mean.
//! - `plan`: what is loaded for waiting requests, and what is unloaded.
//! - `choose`: where, and what makes room.
//! - `survey`, `summary`: what a plan looks up once, of everything and of each engine.
//! - `growth`: further replicas of assets in demand.
//! - `demand`, `usage`: what waits, and how much each asset is asked for.
//! - `budget`: the weight store's rates.
//! - `reach`: which scope holds what.

mod budget;
mod choose;
mod demand;
mod engine;
mod growth;
mod listings;
mod orders;
mod plan;
mod reach;
mod state;
mod summary;
mod survey;
mod usage;

pub use demand::DemandTable;
pub use engine::EngineState;
pub use engine::ReplicaPhase;
pub use reach::ScopeReach;
pub use state::PlacementContext;
pub use state::PlacementState;
pub use usage::UsageTable;
