//! Rolling update of model weights: which engines load a new version next.

use std::collections::BTreeMap;

use super::life::TargetLife;
use super::registry::TargetName;
use super::registry::TargetRecord;
use bergamotlane_coordination::clock::ClockTime;

/// Limits of a rolling weight update.
#[derive(Debug, Clone, Copy)]
pub struct WaveConfig {
    /// Share of a service's engines that may load weights at the same time, in percent.
    pub wave_percent: u32,
    /// Maximum number of engines of a service that may fetch from the weight store at the
    /// same time.
    pub store_fetches: u32,
    /// Time after which an order that has had no effect is repeated, in milliseconds.
    pub retry_ms: u64,
}

impl Default for WaveConfig {
    fn default() -> Self {
        Self {
            wave_percent: 34,
            store_fetches: 8,
            retry_ms: 5_000,
        }
    }
}

/// Orders engines to load new weights in waves, so that enough capacity remains.
#[derive(Debug)]
pub struct WavePlanner {
    config: WaveConfig,
    /// Version last ordered from each engine, and the time of the order.
    ordered: BTreeMap<TargetName, (u64, ClockTime)>,
}

impl WavePlanner {
    /// Creates a planner without pending orders.
    pub fn new(config: WaveConfig) -> Self {
        Self {
            config,
            ordered: BTreeMap::new(),
        }
    }

    /// Returns the engines of `service` that are to be ordered to load `version` now, and
    /// records the orders.
    ///
    /// An engine counts as updated only once it announces the version itself; a confirmed
    /// order doesn't suffice.
    pub fn next_wave<'a>(
        &mut self,
        now: ClockTime,
        service: &str,
        version: u64,
        records: impl Iterator<Item = &'a TargetRecord>,
    ) -> Vec<&'a TargetRecord> {
        let engines: Vec<&TargetRecord> = records
            .filter(|record| record.announcement.target.service == service)
            .filter(|record| matches!(record.life, TargetLife::Cold | TargetLife::Warm))
            .collect();
        let behind: Vec<&TargetRecord> = engines
            .iter()
            .copied()
            .filter(|record| record.announcement.version < version)
            .collect();
        let retry_ms = self.config.retry_ms;
        let is_loading = |orders: &BTreeMap<TargetName, (u64, ClockTime)>, it: &TargetRecord| {
            let order = orders.get(&it.announcement.target);
            order.is_some_and(|(ordered, time)| *ordered >= version && now.since(*time) < retry_ms)
        };
        let loading = behind
            .iter()
            .filter(|record| is_loading(&self.ordered, record))
            .count();
        let share = (engines.len() * self.config.wave_percent as usize).div_ceil(100);
        let room = share
            .min(self.config.store_fetches as usize)
            .saturating_sub(loading);
        let mut wave: Vec<&TargetRecord> = behind
            .into_iter()
            .filter(|record| !is_loading(&self.ordered, record))
            .collect();
        // The least loaded engines go first, since an update there costs the least capacity.
        wave.sort_by_key(|record| record.announcement.load);
        wave.truncate(room);
        for record in &wave {
            let name = record.announcement.target.clone();
            self.ordered.insert(name, (version, now));
        }
        wave
    }
}
