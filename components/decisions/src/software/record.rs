//! The software versions that serve, as stored in the key-value service.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Key of the record, which all scopes share.
pub const SOFTWARE_KEY: &str = "software";

/// A software version of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRow {
    /// Name of the version.
    #[serde(rename = "v")]
    pub version: String,
    /// Whether streams that may be taken up may begin at it.
    #[serde(rename = "o")]
    pub is_open: bool,
}

/// Value stored under [`SOFTWARE_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SoftwareRecord {
    /// Versions that serve, or did a short time ago, by the name of the service.
    pub services: BTreeMap<String, Vec<VersionRow>>,
}

impl SoftwareRecord {
    /// Parses a stored value. Returns `None` if it is not a record of software versions.
    pub fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Serializes the record for the key-value service.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a record of software versions has only string keys")
    }

    /// Versions of a service; empty if none is known.
    pub fn versions_of(&self, service: &str) -> &[VersionRow] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}
