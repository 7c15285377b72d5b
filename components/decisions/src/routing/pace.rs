//! Usual pace of an upstream, from the figures that it states.

use std::time::Duration;

use crate::time::Moment;

/// Figures in percent that are believed: from half of the lowest to twice the highest one seen (55 and
/// 300). Others are ignored: an engine with a lower figure would draw the requests of all hosts, and one
/// that is slower than the highest is noticed by its own overdue answers.
const BELIEVED: std::ops::RangeInclusive<u16> = 28..=600;
/// Number of figures whose median is the usual pace: two short peaks among them have no effect, and an
/// engine that became slow is revealed by the third answer.
const FIGURES: usize = 5;
/// Share of the difference by which the usual pace follows a lower median with each figure, so that an
/// engine that was slow gets requests again only gradually.
const FALL_SHARE: f64 = 0.3;
/// Shortest time between two figures that both count: the pace changes many times a second, and figures
/// of the same peak must not outweigh the others.
const FIGURE_INTERVAL: Duration = Duration::from_millis(250);

/// How long work takes at one upstream, as a factor of the usual time.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsualPace {
    /// Latest figures in percent, in a ring; the first `count` are valid.
    figures: [u16; FIGURES],
    /// Number of figures so far.
    count: usize,
    /// When the latest figure that counts was received.
    counted_at: Moment,
    /// Usual pace; meaningless while `count` is 0.
    usual: f64,
}

impl UsualPace {
    /// Records a figure in percent, unless it is not believed or repeats the last one.
    pub fn record(&mut self, now: Moment, percent: u16) {
        let is_repeated = self.count > 0 && now.since(self.counted_at) < FIGURE_INTERVAL;
        if !BELIEVED.contains(&percent) || is_repeated {
            return;
        }
        self.counted_at = now;
        self.figures[self.count % FIGURES] = percent;
        self.count += 1;
        let mut sorted = self.figures;
        let known = &mut sorted[..self.count.min(FIGURES)];
        known.sort_unstable();
        // Of two figures, the lower one: the higher one may be a peak.
        let median = f64::from(known[(known.len() - 1) / 2]) / 100.0;
        let follows = self.count < FIGURES || median > self.usual;
        self.usual += (median - self.usual) * if follows { 1.0 } else { FALL_SHARE };
    }

    /// Usual pace; `None` if the upstream has not stated its pace.
    pub fn usual(&self) -> Option<f64> {
        (self.count > 0).then_some(self.usual)
    }
}
