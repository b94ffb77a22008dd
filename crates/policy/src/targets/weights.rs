//! Weight roll-out: which engines load the new version next.

use std::collections::BTreeMap;

use super::life::TargetLife;
use super::registry::TargetName;
use super::registry::TargetRecord;
use bergamotlane_coordination::clock::ClockTime;

/// Limits of a roll-out.
#[derive(Debug, Clone, Copy)]
pub struct WaveConfig {
    /// Share of a service's engines that may load at a time, in percent.
    pub wave_percent: u32,
    /// Most engines that may fetch from the weight store at a time.
    pub store_fetches: u32,
    /// Time after which an order without effect is given again, in milliseconds.
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

/// Orders under way, by target.
#[derive(Debug)]
pub struct WavePlanner {
    config: WaveConfig,
    ordered: BTreeMap<TargetName, (u64, ClockTime)>,
}

impl WavePlanner {
    /// Creates a planner without orders under way.
    pub fn new(config: WaveConfig) -> Self {
        Self {
            config,
            ordered: BTreeMap::new(),
        }
    }

    /// Returns the engines that shall load `version` of `service` now.
    ///
    /// An engine counts as done when it reports the version itself, never because it
    /// was ordered to load it.
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
        let is_loading = |ordered: &BTreeMap<TargetName, (u64, ClockTime)>, it: &TargetRecord| {
            let order = ordered.get(&it.announcement.target);
            order.is_some_and(|(at, time)| *at >= version && now.since(*time) < retry_ms)
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
        // Idle engines first: a swap there costs no capacity.
        wave.sort_by_key(|record| record.announcement.load);
        wave.truncate(room);
        for record in &wave {
            let name = record.announcement.target.clone();
            self.ordered.insert(name, (version, now));
        }
        wave
    }
}
