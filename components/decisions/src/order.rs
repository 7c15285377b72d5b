//! Orders of a leader to its engines, and their outcomes.

use serde::Deserialize;
use serde::Serialize;
use slotmap::new_key_type;
use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

new_key_type! {
    /// Key of an order whose outcome is pending.
    pub struct OrderKey;
}

/// Number of low bits of a fencing token that hold the fencing term.
const FENCING_TERM_BITS: u32 = 20;

/// Fencing token of an order. A token of a later epoch is larger than any of an earlier one. Within
/// an epoch, the fencing term of an engine grows after a lost order, so that later orders supersede
/// that order.
pub fn fencing_token(epoch: u64, fencing_term: u64) -> u64 {
    (epoch << FENCING_TERM_BITS) | fencing_term.min((1 << FENCING_TERM_BITS) - 1)
}

/// Epoch of the leader that issued this fencing token.
pub fn token_epoch(token: u64) -> u64 {
    token >> FENCING_TERM_BITS
}

/// Action that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum OrderKind {
    /// Installs the fencing token and returns a report; loads and unloads nothing.
    Claim,
    /// Loads a model.
    LoadModel {
        /// Unique name of the asset.
        asset: String,
        /// Accelerator memory reserved for the asset, in bytes.
        bytes: u64,
    },
    /// Loads an adapter for a resident base model.
    LoadAdapter {
        /// Unique name of the asset.
        asset: String,
        /// Unique name of the base model.
        base: String,
        /// Accelerator memory reserved for the asset, in bytes.
        bytes: u64,
    },
    /// Unloads a model or an adapter; refused while requests run on it.
    Unload {
        /// Unique name of the asset.
        asset: String,
    },
}

/// Order as passed to the runtime.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Key that the runtime returns with the outcome.
    pub key: OrderKey,
    /// Engine that receives the order.
    pub upstream: UpstreamKey,
    /// Token built by [`fencing_token`].
    pub token: u64,
    /// Number of orders that the engine must have accepted before this one; `None` when the engine
    /// does not count them.
    pub expected: Option<u64>,
    /// Requested action.
    pub kind: OrderKind,
    /// Latest moment at which the order may be written to a socket.
    pub valid_until: Moment,
}

/// State of a resident asset, as its engine reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResidentState {
    /// The engine is loading it.
    Loading,
    /// It serves requests.
    Ready,
}

/// Asset that is resident in an engine, or being loaded there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentAsset {
    /// Unique name of the asset.
    pub asset: String,
    /// Accelerator memory that the asset takes, in bytes.
    pub bytes: u64,
    /// Whether the asset is loading or serves requests.
    pub state: ResidentState,
}

/// State of an engine, as the engine reports it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Assets that are resident or being loaded.
    pub resident: Vec<ResidentAsset>,
    /// Number of orders accepted so far; `None` when the engine does not count them.
    pub sequence: Option<u64>,
    /// Whether a load or unload of a model is in progress that `resident` does not show.
    pub busy: bool,
    /// Models whose weights are in its host memory or on its disk; `None` when not reported.
    pub copies: Option<WeightCopies>,
}

/// Unique names of the models whose weights an engine keeps outside its accelerators.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WeightCopies {
    /// Models whose weights are in its host memory.
    pub in_memory: Vec<String>,
    /// Models whose weights are on its disk.
    pub on_disk: Vec<String>,
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Carried out; the report shows the engine's state afterwards.
    Accepted(EngineReport),
    /// Not carried out; the report shows the engine's current state.
    Refused(EngineReport),
    /// Accepted and in progress.
    Started,
    /// Nothing to do: the requested state was already reached.
    Unchanged,
    /// Not carried out: the engine is busy, or has accepted another order in the meantime.
    Conflict,
    /// Not carried out: the engine has seen a larger fencing token.
    StaleToken,
    /// Not carried out: another upstream has the engine's address now.
    Gone,
    /// Not carried out: it was not sent.
    NotSent,
    /// No answer: the order may have been carried out, or may still be.
    Lost,
}
