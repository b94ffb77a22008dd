//! Which target of a plain service gets a request: least expected wait (outstanding requests
//! weighted by observed latency), near zones first, with passive outlier ejection.

use std::collections::HashMap;

use crate::registry::TargetEntry;
use crate::registry::TargetRegistry;
use crate::registry::TargetStage;
use crate::registry::TargetView;
use bergamotlane_coordination::clock::ClockTime;

/// First time for which a failing target is left out, in milliseconds; it doubles.
const EJECTION_MS: u64 = 500;

/// Longest time for which a failing target is left out, in milliseconds.
const LONGEST_EJECTION_MS: u64 = 8_000;

/// Latency that a target is expected to have before it is known, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 30.0;

/// Weight of a new observation in a target's latency.
const LATENCY_WEIGHT: f64 = 0.25;

/// Factor on the expected wait at a target in another zone.
const FAR_FACTOR: f64 = 1.4;

/// Factor on the expected wait at a target to which no connection is kept any more.
const UNCONNECTED_FACTOR: f64 = 1.6;

/// Time after its last use for which a connection is kept, in milliseconds.
const CONNECTION_KEPT_MS: u64 = 9_000;

/// Time after which half of what a target's latency differs from the expected one is
/// forgotten, in milliseconds.
const LATENCY_HALF_LIFE_MS: f64 = 4_000.0;

/// Penalty of a target that has been silent for a while.
const SILENT_FACTOR: f64 = 50.0;

#[derive(Debug)]
struct TargetLoad {
    outstanding: u32,
    latency_ms: f64,
    failures: u32,
    ejected_until: ClockTime,
    cold_sent_at: ClockTime,
    used_at: ClockTime,
}

impl TargetLoad {
    /// Returns the latency to expect: an old observation counts less and less.
    fn expected_ms(&self, now: ClockTime) -> f64 {
        let age = now.since(self.used_at) as f64;
        let kept = (-age / LATENCY_HALF_LIFE_MS).exp2();
        DEFAULT_LATENCY_MS + (self.latency_ms - DEFAULT_LATENCY_MS) * kept
    }
}

impl Default for TargetLoad {
    fn default() -> Self {
        Self {
            outstanding: 0,
            latency_ms: DEFAULT_LATENCY_MS,
            failures: 0,
            ejected_until: ClockTime::default(),
            cold_sent_at: ClockTime::default(),
            used_at: ClockTime::default(),
        }
    }
}

/// What a request wants.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// Targets that it has tried.
    pub tried: &'a [String],
    /// Time between two requests that a cold target gets from here, in milliseconds.
    pub cold_pause_ms: Option<u64>,
}

/// Chooses targets for one instance.
#[derive(Debug, Default)]
pub struct TargetChooser {
    zone: String,
    registry: TargetRegistry,
    evacuated: Vec<String>,
    loads: HashMap<String, TargetLoad>,
}

impl TargetChooser {
    /// Makes a chooser for an instance in a zone.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            ..Self::default()
        }
    }

    /// Takes over what the leader says about the targets.
    pub fn update(&mut self, now: ClockTime, views: &[TargetView]) {
        let mut registry = TargetRegistry::default();
        registry.restore(now, views);
        self.loads
            .retain(|id, load| load.outstanding > 0 || registry.get(id).is_some());
        self.registry = registry;
    }

    /// Takes over which zones are out.
    pub fn set_evacuated(&mut self, zones: Vec<String>) {
        self.evacuated = zones;
    }

    fn candidates(&self, service: &str) -> impl Iterator<Item = &TargetEntry> {
        let entries = self.registry.iter().map(|(_, entry)| entry);
        entries.filter(move |it| {
            it.notice.service == service
                && it.stage != TargetStage::Draining
                && !self.evacuated.contains(&it.notice.zone)
        })
    }

    /// Chooses a target and counts the request as outstanding there.
    pub fn choose(&mut self, now: ClockTime, query: ChoiceQuery<'_>) -> Option<TargetEntry> {
        let best = self
            .candidates(query.service)
            .filter(|it| !query.tried.contains(&it.notice.id))
            .filter_map(|it| Some((self.cost(now, it, query)?, it)))
            .min_by(|left, right| left.0.total_cmp(&right.0));
        let entry = best?.1.clone();
        let load = self.loads.entry(entry.notice.id.clone()).or_default();
        load.outstanding += 1;
        load.latency_ms = load.expected_ms(now);
        load.used_at = now;
        if entry.is_cold(now) {
            load.cold_sent_at = now;
        }
        Some(entry)
    }

    fn cost(&self, now: ClockTime, entry: &TargetEntry, query: ChoiceQuery<'_>) -> Option<f64> {
        let fresh = TargetLoad::default();
        let load = self.loads.get(&entry.notice.id).unwrap_or(&fresh);
        let mut cost = load.expected_ms(now) * f64::from(load.outstanding + 1);
        if now.since(load.used_at) >= CONNECTION_KEPT_MS {
            cost *= UNCONNECTED_FACTOR;
        }
        if entry.notice.zone != self.zone {
            cost *= FAR_FACTOR;
        }
        if entry.stage == TargetStage::Silent {
            cost *= SILENT_FACTOR;
        }
        if now < load.ejected_until {
            cost *= SILENT_FACTOR * SILENT_FACTOR;
        }
        if entry.is_cold(now) {
            let pause = query.cold_pause_ms?;
            if now.since(load.cold_sent_at) < pause {
                return None;
            }
            cost *= SILENT_FACTOR;
        }
        Some(cost)
    }

    /// Notes the end of a request; `latency_ms` is missing if the target failed.
    pub fn finish_request(&mut self, now: ClockTime, id: &str, latency_ms: Option<u64>) {
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        load.outstanding = load.outstanding.saturating_sub(1);
        match latency_ms {
            Some(latency) => {
                load.failures = 0;
                load.ejected_until = ClockTime::default();
                load.latency_ms += (latency as f64 - load.latency_ms) * LATENCY_WEIGHT;
            }
            None => {
                let pause = EJECTION_MS << load.failures.min(4);
                load.ejected_until = now + pause.min(LONGEST_EJECTION_MS);
                load.failures += 1;
            }
        }
    }

    /// Notes that a request ended without telling anything about its target.
    pub fn release_request(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.outstanding = load.outstanding.saturating_sub(1);
        }
    }
}
