//! Software versions of upstreams, and which one began a stream.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began it.
//! A caller may take a stream up at any host. See `docs/design/software-versions.md`.

mod origins;
mod record;

pub use origins::OriginTable;
pub use record::SOFTWARE_KEY;
pub use record::SoftwareRecord;
pub use record::VersionRow;
