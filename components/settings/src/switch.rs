//! Switches of features that may depend on the service.

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

/// Whether a feature is on; in the file `true`, `false` or `"auto"`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FeatureSwitch {
    /// For the services whose upstreams state what it needs.
    #[default]
    Auto,
    /// For all services.
    On,
    /// For none.
    Off,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum SwitchValue {
    Flag(bool),
    Text(String),
}

impl<'de> Deserialize<'de> for FeatureSwitch {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match SwitchValue::deserialize(deserializer) {
            Ok(SwitchValue::Flag(true)) => Ok(Self::On),
            Ok(SwitchValue::Flag(false)) => Ok(Self::Off),
            Ok(SwitchValue::Text(text)) if text == "auto" => Ok(Self::Auto),
            _ => Err(D::Error::custom("must be true, false or \"auto\"")),
        }
    }
}
