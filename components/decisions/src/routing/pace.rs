//! Average of the pace that an upstream states.

use std::time::Duration;

use crate::time::Moment;

/// Lowest and highest accepted pace in percent; engines were seen between 55 and 300.
const PACE_RANGE: std::ops::RangeInclusive<u16> = 10..=1_000;
/// Weight of a figure that is higher than the average: three answers reveal an engine that became slow,
/// and a single short peak does not triple its estimate.
const RISE_WEIGHT: f64 = 0.35;
/// Weight of a figure that is lower than the average, so that an engine that was slow gets requests
/// again only gradually.
const FALL_WEIGHT: f64 = 0.15;
/// Number of first figures that are averaged with equal weights.
const WARM_UP: u32 = 3;
/// Time for which the latest figure predicts better than the average; the pace changes many times a
/// second.
const MOMENTARY_TIME: Duration = Duration::from_millis(50);

/// How long work takes at one upstream, as a factor of the usual time.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceAverage {
    /// Average of the figures stated so far; meaningless while `count` is 0.
    average: f64,
    /// Latest figure.
    latest: f64,
    /// When the latest figure was received.
    latest_at: Moment,
    /// Number of figures so far.
    count: u32,
}

impl PaceAverage {
    /// Records a figure in percent. Figures out of range count as the nearest one within it.
    pub fn record(&mut self, now: Moment, percent: u16) {
        let factor = f64::from(percent.clamp(*PACE_RANGE.start(), *PACE_RANGE.end())) / 100.0;
        let weight = match (self.count, factor > self.average) {
            (count, _) if count < WARM_UP => 1.0 / f64::from(count + 1),
            (_, true) => RISE_WEIGHT,
            (_, false) => FALL_WEIGHT,
        };
        self.average += (factor - self.average) * weight;
        self.latest = factor;
        self.latest_at = now;
        self.count = self.count.saturating_add(1);
    }

    /// Average; `None` if the upstream has not stated its pace.
    pub fn average(&self) -> Option<f64> {
        (self.count > 0).then_some(self.average)
    }

    /// Pace that work sent at `now` is expected to meet.
    pub fn expected(&self, now: Moment) -> Option<f64> {
        let is_fresh = now.since(self.latest_at) <= MOMENTARY_TIME;
        self.average().map(|average| if is_fresh { average.max(self.latest) } else { average })
    }
}
