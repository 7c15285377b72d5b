//! Rules for the choice of an upstream.

/// What the choice among the upstreams of a request is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ChoiceBasis {
    /// The expected work if one of the upstreams states its pace or the configuration has accounts,
    /// otherwise the number of requests.
    #[default]
    Auto,
    /// The expected work.
    Work,
    /// The number of requests.
    Requests,
}
