//! Model of what requests cost: the time that they take on a target of usual speed with a free slot.
//!
//! Requests that look alike cost very different amounts, so the model keeps their distribution and
//! not just an average. It is bounded, and what it has learned loses weight with time.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use http::Method;

use bergamotlane_coordination::clock::ClockTime;

/// Largest number of classes that are kept; the one that has not been observed for longest makes room.
const MAX_CLASSES: usize = 256;

/// Number of buckets of a class's distribution. Their upper ends, in milliseconds, double every
/// [`BUCKETS_PER_DOUBLING`] buckets; the last one holds everything above 46 s.
const BUCKET_COUNT: usize = 32;

/// Number of buckets in which a time doubles.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// Half-life of an observation's weight, in milliseconds.
const HALF_LIFE_MS: f64 = 600_000.0;

/// Largest weight of a class's observations; above it, each new one lowers the others' weight.
const MAX_WEIGHT: f64 = 512.0;

/// Weight below which a class is unknown: that of eight observations, with half of one to spare for
/// what they lose with age. With fewer observations, the median is as uncertain as the difference
/// between two targets.
const MIN_WEIGHT: f64 = 7.5;

/// Quantile that stands for an expensive request of its class.
const HIGH_QUANTILE: f64 = 0.95;

/// Class of requests that look alike before they run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestClass(u64);

impl RequestClass {
    /// Returns the class of a request, by its route, its method and the size of its body, whose
    /// classes end at powers of four.
    pub fn of(route: &str, method: &Method, body_bytes: usize) -> Self {
        let size_class = body_bytes.checked_ilog2().map_or(0, |it| it / 2 + 1);
        let mut hasher = DefaultHasher::new();
        (route, method, size_class).hash(&mut hasher);
        Self(hasher.finish())
    }

    /// Returns the class of all requests to a service.
    fn of_service(service: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        service.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// What a request is expected to cost, in milliseconds on a target of usual speed with a free slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostEstimate {
    /// Median.
    pub median_ms: f64,
    /// Quantile that only expensive requests exceed.
    pub high_ms: f64,
    /// Mean, which tells how long a queue of such requests takes.
    pub mean_ms: f64,
}

/// Expected costs of a request and of those that it waits for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestCosts {
    /// Cost of the request.
    pub own: CostEstimate,
    /// Mean cost of all requests to its service, in milliseconds.
    pub others_ms: f64,
}

/// Distribution of the costs of one class.
#[derive(Debug)]
struct ClassCosts {
    weights: [f64; BUCKET_COUNT],
    /// Sum of the weights.
    weight: f64,
    /// Weighted sum of the costs, in milliseconds.
    sum_ms: f64,
    observed_at: ClockTime,
}

impl ClassCosts {
    fn new(now: ClockTime) -> Self {
        Self {
            weights: [0.0; BUCKET_COUNT],
            weight: 0.0,
            sum_ms: 0.0,
            observed_at: now,
        }
    }

    /// Returns the share of the weights that is left after the time since the last observation.
    fn remaining(&self, now: ClockTime) -> f64 {
        (-(now.since(self.observed_at) as f64) / HALF_LIFE_MS).exp2()
    }

    fn observe(&mut self, now: ClockTime, cost_ms: f64) {
        let excess = (self.weight / (MAX_WEIGHT - 1.0)).max(1.0);
        let scale = self.remaining(now) / excess;
        for weight in &mut self.weights {
            *weight *= scale;
        }
        let place = cost_ms.max(1.0).log2() * BUCKETS_PER_DOUBLING;
        self.weights[(place as usize).min(BUCKET_COUNT - 1)] += 1.0;
        self.weight = self.weight * scale + 1.0;
        self.sum_ms = self.sum_ms * scale + cost_ms;
        self.observed_at = now;
    }

    /// Returns a quantile, interpolated within its bucket, in milliseconds.
    fn quantile_ms(&self, quantile: f64) -> f64 {
        let mut left = self.weight * quantile;
        for (index, weight) in self.weights.iter().enumerate() {
            if *weight > 0.0 && left <= *weight {
                let place = index as f64 + left / weight;
                return (place / BUCKETS_PER_DOUBLING).exp2();
            }
            left -= weight;
        }
        (BUCKET_COUNT as f64 / BUCKETS_PER_DOUBLING).exp2()
    }

    fn estimate(&self, now: ClockTime) -> Option<CostEstimate> {
        (self.weight * self.remaining(now) >= MIN_WEIGHT).then(|| CostEstimate {
            median_ms: self.quantile_ms(0.5),
            high_ms: self.quantile_ms(HIGH_QUANTILE),
            mean_ms: self.sum_ms / self.weight,
        })
    }
}

/// Costs of requests, as learned from the answers that an instance sees.
#[derive(Debug, Default)]
pub struct CostModel {
    classes: HashMap<RequestClass, ClassCosts>,
}

impl CostModel {
    /// Records that a request of a service cost this time on a target of usual speed with a free slot,
    /// in milliseconds.
    pub fn observe(&mut self, now: ClockTime, service: &str, class: RequestClass, cost_ms: f64) {
        for class in [class, RequestClass::of_service(service)] {
            if !self.classes.contains_key(&class) {
                self.make_room();
            }
            let costs = self.classes.entry(class);
            costs
                .or_insert_with(|| ClassCosts::new(now))
                .observe(now, cost_ms);
        }
    }

    /// Removes the class that has not been observed for longest if the model is full.
    fn make_room(&mut self) {
        if self.classes.len() < MAX_CLASSES {
            return;
        }
        let oldest = self.classes.iter().min_by_key(|(_, it)| it.observed_at);
        if let Some(class) = oldest.map(|(class, _)| *class) {
            self.classes.remove(&class);
        }
    }

    /// Returns the number of classes that are kept.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Returns what a request to a service is expected to cost, or `None` if too little is known. A
    /// class with few observations costs what all requests to the service do.
    pub fn expected(
        &self,
        now: ClockTime,
        service: &str,
        class: RequestClass,
    ) -> Option<RequestCosts> {
        let estimate = |class| self.classes.get(&class)?.estimate(now);
        let all = estimate(RequestClass::of_service(service))?;
        Some(RequestCosts {
            own: estimate(class).unwrap_or(all),
            others_ms: all.mean_ms,
        })
    }
}
