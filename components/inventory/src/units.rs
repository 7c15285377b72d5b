//! Durations and sizes that are written with a unit.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// A duration, written as `250ms`, `6s`, `5m`, `12h` or `30d`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeSpan(pub Duration);

/// A size in bytes, written as `7B`, `512KiB`, `300MiB` or `40GiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(pub u64);

/// Suffixes of durations, in milliseconds.
const TIME_UNITS: [(&str, u64); 5] =
    [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000), ("d", 86_400_000)];
/// Suffixes of sizes, in bytes.
const SIZE_UNITS: [(&str, u64); 4] =
    [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("B", 1)];

/// Upper bound of values written with a fraction, in milliseconds or bytes: 2^53, below which an
/// `f64` represents every integer exactly.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

impl TimeSpan {
    /// Parses text such as `250ms`.
    ///
    /// # Errors
    /// Returns a message with the text and, if the unit is wrong, the accepted units.
    pub fn parse(text: &str) -> Result<Self, String> {
        let millis = parse_quantity(text, &TIME_UNITS)?;
        Ok(Self(Duration::from_millis(millis)))
    }
}

impl ByteSize {
    /// Parses text such as `40GiB`.
    ///
    /// # Errors
    /// Returns a message with the text and, if the unit is wrong, the accepted units.
    pub fn parse(text: &str) -> Result<Self, String> {
        parse_quantity(text, &SIZE_UNITS).map(Self)
    }
}

fn parse_quantity(text: &str, units: &[(&str, u64)]) -> Result<u64, String> {
    let number_chars = text.chars().take_while(|c| c.is_ascii_digit() || *c == '.').count();
    let (number, suffix) = text.split_at(number_chars);
    let unit = units.iter().find(|(name, _)| *name == suffix);
    let Some((_, factor)) = unit.filter(|_| !number.is_empty()) else {
        let names: Vec<&str> = units.iter().map(|(name, _)| *name).collect();
        let names = names.join(", ");
        return Err(format!("\"{text}\" is not a number followed by a unit, one of {names}"));
    };
    if let Ok(value) = number.parse::<u64>() {
        return value.checked_mul(*factor).ok_or_else(|| format!("\"{text}\" is too large"));
    }
    let value: f64 = number
        .parse()
        .map_err(|_error| format!("\"{text}\" does not start with a valid number"))?;
    let scaled = value * *factor as f64;
    if scaled < MAX_EXACT_INTEGER {
        Ok(scaled.round() as u64)
    } else {
        Err(format!("\"{text}\" is too large"))
    }
}

fn format_quantity(value: u64, units: &[(&str, u64)]) -> String {
    let exact_units = units.iter().filter(|(_, factor)| value.is_multiple_of(*factor));
    let (name, factor) = exact_units.max_by_key(|(_, factor)| *factor).unwrap_or(&units[0]);
    format!("{}{name}", value / factor)
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format_quantity(self.0.as_millis() as u64, &TIME_UNITS))
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format_quantity(self.0, &SIZE_UNITS))
    }
}

impl Serialize for TimeSpan {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl Serialize for ByteSize {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TimeSpan {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(D::Error::custom)
    }
}

impl<'de> Deserialize<'de> for ByteSize {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(D::Error::custom)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn can_round_trip_units() {
        for text in ["250ms", "6s", "5m", "12h", "30d"] {
            assert_eq!(TimeSpan::parse(text).unwrap().to_string(), text);
        }
        for text in ["7B", "512KiB", "300MiB", "40GiB"] {
            assert_eq!(ByteSize::parse(text).unwrap().to_string(), text);
        }
    }

    #[test]
    fn can_reject_invalid_quantities() {
        for text in ["", "5", "s", "5 s", "-1s", "5GB", "99999999999999999999s"] {
            assert!(TimeSpan::parse(text).is_err(), "{text}");
        }
        assert!(ByteSize::parse("99999999999GiB").is_err());
    }
}
