//! Metrics kept in the process, to be read as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;

use cadence::MetricSink;
use cadence::UdpMetricSink;
use hdrhistogram::Histogram;

/// Longest duration told apart, in milliseconds; longer ones count as this.
const LONGEST_MS: u64 = 600_000;
/// Decimal digits to which durations are kept.
const DIGITS: u8 = 2;
/// Quantiles of durations that are told.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Counters, gauges and durations since the start.
#[derive(Debug, Default)]
struct MetricTable {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    durations: BTreeMap<String, Histogram<u64>>,
}

impl MetricTable {
    /// Takes in one line of statsd; returns false when it cannot be read.
    fn take_in(&mut self, line: &str) -> bool {
        let read = || {
            let (name, rest) = line.split_once(':')?;
            let (value, kind) = rest.split_once('|')?;
            Some((name.replace('.', "_"), value.parse::<u64>().ok()?, kind))
        };
        let Some((name, value, kind)) = read() else {
            return false;
        };
        match kind {
            "c" => *self.counters.entry(name).or_default() += value,
            "g" => {
                self.gauges.insert(name, value);
            }
            "ms" => {
                let new = || {
                    Histogram::new_with_max(LONGEST_MS, DIGITS).expect("the bounds are constants")
                };
                self.durations.entry(name).or_insert_with(new).saturating_record(value);
            }
            _ => return false,
        }
        true
    }

    fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
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

/// Keeps metrics, and passes them on to a statsd receiver if there is one.
#[derive(Debug, Clone)]
pub struct TextSink {
    table: Arc<Mutex<MetricTable>>,
    receiver: Option<Arc<UdpMetricSink>>,
}

impl TextSink {
    /// Starts without any metric.
    pub fn new(receiver: Option<UdpMetricSink>) -> Self {
        Self { table: Arc::default(), receiver: receiver.map(Arc::new) }
    }

    /// All metrics, one a line.
    pub fn to_text(&self) -> String {
        self.table.lock().map_or_else(|_| String::new(), |table| table.to_text())
    }
}

impl MetricSink for TextSink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        let taken = self.table.lock().is_ok_and(|mut table| table.take_in(metric));
        if !taken {
            return Err(std::io::Error::other(format!("metric {metric} cannot be read")));
        }
        match &self.receiver {
            Some(receiver) => receiver.emit(metric),
            None => Ok(metric.len()),
        }
    }
}
