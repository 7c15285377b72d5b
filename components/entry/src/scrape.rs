//! Metrics aggregated in the process and rendered as text for scraping.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;

use cadence::MetricSink;
use cadence::UdpMetricSink;
use hdrhistogram::Histogram;

/// Upper bound of durations, in milliseconds; longer ones are recorded as this.
const MAX_DURATION_MS: u64 = 600_000;
/// Precision of durations, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles rendered for each duration.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Metrics since the start of the process, by name with `_` in place of `.`.
#[derive(Debug, Default)]
struct MetricTable {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    durations: BTreeMap<String, Histogram<u64>>,
}

impl MetricTable {
    /// Records one statsd line; returns false if it cannot be parsed.
    fn record(&mut self, line: &str) -> bool {
        let parse = || {
            let (name, rest) = line.split_once(':')?;
            let (value, kind) = rest.split_once('|')?;
            Some((name.replace('.', "_"), value.parse::<u64>().ok()?, kind))
        };
        let Some((name, value, kind)) = parse() else {
            return false;
        };
        match kind {
            "c" => *self.counters.entry(name).or_default() += value,
            "g" => {
                self.gauges.insert(name, value);
            }
            "ms" => {
                let new_histogram = || {
                    Histogram::new_with_max(MAX_DURATION_MS, SIGNIFICANT_DIGITS)
                        .expect("constant bounds are valid")
                };
                self.durations.entry(name).or_insert_with(new_histogram).saturating_record(value);
            }
            _ => return false,
        }
        true
    }

    fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` never fails.
        for (name, value) in self.counters.iter().chain(&self.gauges) {
            let _ = writeln!(text, "{name} {value}");
        }
        for (name, histogram) in &self.durations {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "{name}_ms_count {}", histogram.len());
        }
        text
    }
}

/// Aggregates metrics, and forwards them to a statsd receiver if one is set.
#[derive(Debug, Clone)]
pub struct TextSink {
    table: Arc<Mutex<MetricTable>>,
    receiver: Option<Arc<UdpMetricSink>>,
}

impl TextSink {
    /// Creates a sink without metrics; `receiver` is `None` if no statsd receiver is set.
    pub fn new(receiver: Option<UdpMetricSink>) -> Self {
        Self { table: Arc::default(), receiver: receiver.map(Arc::new) }
    }

    /// All metrics as lines of name and value.
    pub fn to_text(&self) -> String {
        self.table.lock().map_or_else(|_| String::new(), |table| table.to_text())
    }
}

impl MetricSink for TextSink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        let recorded = self.table.lock().is_ok_and(|mut table| table.record(metric));
        if !recorded {
            return Err(std::io::Error::other(format!("statsd line `{metric}` cannot be parsed")));
        }
        match &self.receiver {
            Some(receiver) => receiver.emit(metric),
            None => Ok(metric.len()),
        }
    }
}
