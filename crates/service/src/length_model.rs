//! Expected lengths of items, in events, learned from the items that were completed.
//!
//! A caller's hint is an estimate of output tokens that may be off by any factor. Lengths are
//! fitted to hints by a line in logarithms, which discounts hints as far as they proved to be of no
//! value. The residuals of the fit give the distribution of an item's length. The expectation is
//! conditional on the events that exist: an item that has outlived its estimate is likely to be
//! long.

use std::collections::BTreeMap;
use std::collections::VecDeque;

/// Number of completed items per model from which the model learns.
const MAX_SAMPLES: usize = 384;

/// Number of models whose lengths are learned; the jobs of further ones use the defaults.
const MAX_MODELS: usize = 64;

/// Number of samples up to which each completed item updates the fit.
const FIT_ALWAYS_SAMPLES: usize = 32;

/// Number of completed items between two updates of the fit, once there are more samples.
const FIT_INTERVAL: u32 = 16;

/// Tokens of an event, until completed items show another number.
const DEFAULT_EVENT_TOKENS: f64 = 64.0;

/// Number of tokens assumed for an item without a hint, until items were completed.
const DEFAULT_TOKENS: f64 = 1_000.0;

/// Ratios of actual to expected lengths that are assumed beside the observed ones, so that an
/// expectation from few samples has both a spread and a tail.
const PRIOR_RATIOS: [f64; 8] = [0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 3.0];

/// Weight of the assumption that hints are right, as a number of samples.
const PRIOR_WEIGHT: f64 = 4.0;

/// Least expected share of the existing events that are still to come, for an item that has not outlived
/// its typical length.
const MIN_TAIL_SHARE: f64 = 0.15;

/// Largest share of its events that an item is expected to have generated once it has outlived its
/// typical length. Without this limit, an item whose hint is far too short counts as nearly done at any
/// length while little is learned, and stays on a slow engine.
const OUTLIVED_SHARE: f64 = 0.5;

/// Factor by which an item may exceed its upper bound, since the number of tokens of an event is
/// only estimated.
const LIMIT_SLACK: f64 = 1.25;

/// Number of samples with hints from which upper bounds in tokens are converted to events.
const MIN_LIMIT_SAMPLES: usize = 8;

/// What is known of an item's length before it is complete.
#[derive(Debug, Clone, Copy, Default)]
pub struct LengthQuery {
    /// Number of output tokens that the caller expects, or zero if unknown.
    pub expected_tokens: u64,
    /// Largest number of output tokens, if known.
    pub max_tokens: Option<u64>,
    /// Number of events of the item so far.
    pub events: u32,
}

impl LengthQuery {
    /// Returns the hint, bounded by the largest number of tokens, if there is one.
    fn hint(&self) -> Option<f64> {
        let bound = self.max_tokens.filter(|it| *it > 0).unwrap_or(u64::MAX);
        let tokens = self.expected_tokens.min(bound);
        (tokens > 0).then_some(tokens as f64)
    }
}

/// Learned lengths of the items of all models.
#[derive(Debug, Default)]
pub struct LengthModel {
    models: BTreeMap<String, LengthSamples>,
    /// Estimate for models without completed items.
    unknown: LengthFit,
}

impl LengthModel {
    /// Adds a completed item; `query` holds its hint and bound, and its total number of events.
    pub fn record(&mut self, model: &str, query: LengthQuery) {
        if query.events == 0 {
            return;
        }
        if !self.models.contains_key(model) {
            if self.models.len() >= MAX_MODELS {
                return;
            }
            let samples = LengthSamples::default();
            self.models.insert(model.to_owned(), samples);
        }
        if let Some(samples) = self.models.get_mut(model) {
            samples.record(query);
        }
    }

    /// Returns the expected total number of events of an item, which is larger than that of the
    /// events so far.
    pub fn expected_events(&self, model: &str, query: LengthQuery) -> f64 {
        self.fit(model).expected_events(query)
    }

    /// Returns the mean number of events of a model's items.
    pub fn mean_events(&self, model: &str) -> f64 {
        self.fit(model).totals.mean()
    }

    fn fit(&self, model: &str) -> &LengthFit {
        self.models.get(model).map_or(&self.unknown, |it| &it.fit)
    }
}

/// Completed items of one model, and the fit to them.
#[derive(Debug, Default)]
struct LengthSamples {
    samples: VecDeque<LengthQuery>,
    /// Number of items since the last update of the fit.
    since_fit: u32,
    fit: LengthFit,
}

impl LengthSamples {
    fn record(&mut self, query: LengthQuery) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(query);
        self.since_fit += 1;
        if self.samples.len() <= FIT_ALWAYS_SAMPLES || self.since_fit >= FIT_INTERVAL {
            self.since_fit = 0;
            self.fit = LengthFit::of(&self.samples);
        }
    }
}

/// Line that maps the logarithm of a hint to that of the length, and what lengths differ from it.
#[derive(Debug)]
struct LengthFit {
    /// Mean of the logarithms of the hints.
    center: f64,
    /// Logarithm of the events expected at the center.
    level: f64,
    slope: f64,
    /// Ratios of actual to expected lengths of items with a hint.
    ratios: TailMean,
    /// Lengths of all items, in events.
    totals: TailMean,
    /// Median length of all items, in events.
    median_events: f64,
    /// Events for each token of an upper bound, once known.
    limit_events: Option<f64>,
}

impl Default for LengthFit {
    fn default() -> Self {
        Self::of(&VecDeque::new())
    }
}

impl LengthFit {
    fn of(samples: &VecDeque<LengthQuery>) -> Self {
        let points: Vec<(f64, f64)> = samples
            .iter()
            .filter_map(|it| Some((it.hint()?.ln(), f64::from(it.events).ln())))
            .collect();
        let count = points.len() as f64;
        let center = match points.is_empty() {
            true => DEFAULT_TOKENS.ln(),
            false => points.iter().map(|(x, _)| x).sum::<f64>() / count,
        };
        // The line is fitted to the difference from an exact hint, which the prior says is zero.
        let exact = |x: f64| x - DEFAULT_EVENT_TOKENS.ln();
        let offset = points.iter().map(|(x, y)| y - exact(*x)).sum::<f64>() / count.max(1.0);
        let offset = offset * count / (count + 1.0);
        let mut spread = PRIOR_WEIGHT;
        let mut covariance = 0.0;
        for (x, y) in &points {
            spread += (x - center).powi(2);
            covariance += (x - center) * (y - exact(*x) - offset);
        }
        let slope = (1.0 + covariance / spread).clamp(0.0, 1.5);
        let level = exact(center) + offset;
        let line = |x: f64| level + slope * (x - center);
        let residuals = points.iter().map(|(x, y)| (y - line(*x)).exp());
        let totals = samples.iter().map(|it| f64::from(it.events));
        let typical = DEFAULT_TOKENS / DEFAULT_EVENT_TOKENS;
        let assumed = match samples.is_empty() {
            true => typical,
            false => median(totals.clone().collect()).unwrap_or(typical),
        };
        Self {
            center,
            level,
            slope,
            ratios: TailMean::new(residuals.chain(PRIOR_RATIOS).collect()),
            totals: TailMean::new(totals.chain(PRIOR_RATIOS.map(|it| it * assumed)).collect()),
            median_events: assumed,
            limit_events: limit_events(samples),
        }
    }

    fn expected_events(&self, query: LengthQuery) -> f64 {
        let events = f64::from(query.events);
        let limit = match (query.max_tokens, self.limit_events) {
            (Some(tokens), Some(ratio)) if tokens > 0 => tokens as f64 * ratio,
            _ => f64::INFINITY,
        };
        let (typical, mean) = match query.hint() {
            Some(hint) => {
                let base = (self.level + self.slope * (hint.ln() - self.center)).exp();
                let ratio = self.ratios.mean_above(events / base, limit / base);
                (base, ratio * base)
            }
            None => (self.median_events, self.totals.mean_above(events, limit)),
        };
        let least = match events > typical {
            true => events / OUTLIVED_SHARE,
            false => events * (1.0 + MIN_TAIL_SHARE),
        };
        // An item at its bound may still be about to generate its last event.
        mean.max(least).min(limit).max(events + 1.0)
    }
}

/// Returns the number of events for each token of an upper bound, with some slack: what hints say of
/// the tokens of an event, or more if items were longer.
fn limit_events(samples: &VecDeque<LengthQuery>) -> Option<f64> {
    let by_hint: Vec<f64> = samples
        .iter()
        .filter_map(|it| Some(f64::from(it.events) / it.hint()?))
        .collect();
    if by_hint.len() < MIN_LIMIT_SAMPLES {
        return None;
    }
    let bounded = samples.iter().filter_map(|it| {
        let tokens = it.max_tokens.filter(|it| *it > 0)?;
        Some(f64::from(it.events) / tokens as f64)
    });
    let longest = bounded.fold(0.0, f64::max);
    Some(longest.max(median(by_hint)? * LIMIT_SLACK))
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Sample of a distribution that answers for the mean of its upper part.
#[derive(Debug)]
struct TailMean {
    /// Values in ascending order.
    values: Vec<f64>,
    /// Sum of the values before each index, and of all values.
    sums: Vec<f64>,
}

impl TailMean {
    fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let mut sums = Vec::with_capacity(values.len() + 1);
        let mut sum = 0.0;
        sums.push(sum);
        for value in &values {
            sum += value;
            sums.push(sum);
        }
        Self { values, sums }
    }

    fn mean(&self) -> f64 {
        self.mean_above(0.0, f64::INFINITY)
    }

    /// Returns the mean of the values above `least`, each bounded by `limit`, or `least` if there are
    /// none.
    fn mean_above(&self, least: f64, limit: f64) -> f64 {
        let first = self.values.partition_point(|it| *it <= least);
        let count = self.values.len() - first;
        if count == 0 {
            return least;
        }
        let bounded = self.values.partition_point(|it| *it <= limit).max(first);
        let beyond = self.values.len() - bounded;
        let excess = match beyond {
            0 => 0.0,
            beyond => beyond as f64 * limit,
        };
        (self.sums[bounded] - self.sums[first] + excess) / count as f64
    }
}
