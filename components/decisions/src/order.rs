//! Orders to engines.

use serde::Deserialize;
use serde::Serialize;
use slotmap::new_key_type;
use wagtailledge_inventory::UpstreamKey;

use crate::time::Moment;

new_key_type! {
    /// One order sent to an engine.
    pub struct OrderKey;
}

/// Bits of a fencing token below the epoch.
const TERM_BITS: u32 = 20;

/// Token of a leader's orders: a later epoch beats any earlier one, and within an epoch an order
/// after a lost one beats that.
pub fn fencing_token(epoch: u64, term: u64) -> u64 {
    (epoch << TERM_BITS) | term.min((1 << TERM_BITS) - 1)
}

/// Epoch of the leader whose order has this token.
pub fn token_epoch(token: u64) -> u64 {
    token >> TERM_BITS
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum OrderKind {
    /// Changes nothing; installs the token and lists what is held.
    Claim,
    /// Loads a model.
    LoadModel {
        /// Unique name of the asset.
        asset: String,
        /// Bytes set aside for it.
        bytes: u64,
    },
    /// Loads an adapter beside its base.
    LoadAdapter {
        /// Unique name of the asset.
        asset: String,
        /// Unique name of the base model.
        base: String,
        /// Bytes set aside for it.
        bytes: u64,
    },
    /// Unloads a model or an adapter; refused while requests run on it.
    Unload {
        /// Unique name of the asset.
        asset: String,
    },
}

/// An order as handed to the shell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Returned with the reply.
    pub key: OrderKey,
    /// The engine.
    pub upstream: UpstreamKey,
    /// Fencing token, see [`fencing_token`].
    pub token: u64,
    /// Orders the engine must have accepted before, where it counts them.
    pub expected: Option<u64>,
    /// What to do.
    pub kind: OrderKind,
    /// The order must not be written to a socket after this moment.
    pub valid_until: Moment,
}

/// State of a replica as its engine tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HeldState {
    /// Being loaded.
    Loading,
    /// Serving.
    Ready,
}

/// One asset that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAsset {
    /// Unique name of the asset.
    pub asset: String,
    /// Accelerator memory it takes.
    pub bytes: u64,
    /// Loading or serving.
    pub state: HeldState,
}

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineListing {
    /// Everything held.
    pub held: Vec<HeldAsset>,
    /// Orders accepted so far, where the engine counts them.
    pub sequence: Option<u64>,
    /// Whether a load or unload of a model is in progress that `held` does not show.
    pub busy: bool,
    /// Models whose weights lie in its host memory or on its disk, where it says.
    pub copies: Option<WeightCopies>,
}

/// Models whose weights an engine has a copy of, by unique name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WeightCopies {
    /// In its host memory.
    pub in_memory: Vec<String>,
    /// On its disk.
    pub on_disk: Vec<String>,
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Carried out; lists everything held afterwards.
    Accepted(EngineListing),
    /// Not carried out; lists everything held.
    Refused(EngineListing),
    /// Accepted; it is being carried out.
    Started,
    /// What it asks for holds already.
    Unchanged,
    /// Not carried out: the engine is busy, or has accepted another order meanwhile.
    Conflict,
    /// Not carried out: a larger token has been seen.
    StaleToken,
    /// Not carried out: the address belongs to another upstream now.
    Gone,
    /// Never left this process.
    NotSent,
    /// No answer: it may have been, or may yet be, carried out.
    Lost,
}
