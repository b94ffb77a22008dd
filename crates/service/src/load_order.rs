//! Which engine loads which weights next: a rolling refresh, scarcest model first.
//!
//! Loads are few at a time, so with several models there are not enough of them to bring every
//! engine to every version. A version stays usable for as many steps as jobs allow older ones;
//! an engine that loads only once its weights are of no use any more serves all of these steps
//! for one load. So engines take turns, and more of them are usable than could be reloaded for
//! each version. An engine whose weights are still good loads only while nothing runs on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// One model of an engine.
#[derive(Debug, Clone, Copy)]
pub struct LoadTarget<'a> {
    /// Engine.
    pub id: &'a str,
    /// Model.
    pub model: &'a str,
    /// Version that it has.
    pub version: u64,
    /// Newest version of the model.
    pub newest: u64,
    /// Whether runs of the model are on it.
    pub is_busy: bool,
    /// Whether it is loading the newest version.
    pub is_loading: bool,
    /// Whether it may be told to load now.
    pub can_load: bool,
}

/// What is known of the jobs of a model.
#[derive(Debug, Default, Clone, Copy)]
struct ModelNeed {
    newest: u64,
    /// Oldest version that the latest jobs allowed, and the newest one at that time.
    last_jobs: Option<(u64, u64)>,
    is_open: bool,
}

impl ModelNeed {
    /// Returns the oldest version that open jobs can use, or else the next job.
    fn oldest_usable(&self) -> u64 {
        let Some((least, newest)) = self.last_jobs else {
            return self.newest;
        };
        if self.is_open {
            return least;
        }
        // The next job comes with the next version; the one after a new version is due now.
        let lag = newest.saturating_sub(least);
        let next = match self.newest > newest {
            true => self.newest,
            false => self.newest + 1,
        };
        next.saturating_sub(lag).min(self.newest)
    }
}

/// Which weights jobs need, by model.
#[derive(Debug, Default)]
pub struct ModelNeeds {
    models: BTreeMap<String, ModelNeed>,
}

impl ModelNeeds {
    /// Takes the newest versions, and the oldest ones that open jobs allow.
    pub fn update(&mut self, named: &BTreeMap<String, u64>, least: &BTreeMap<String, u64>) {
        for (model, newest) in named {
            let need = self.models.entry(model.clone()).or_default();
            need.newest = *newest;
            let open = least.get(model);
            need.is_open = open.is_some();
            if let Some(least) = open
                && need.last_jobs.is_none_or(|(known, _)| known < *least)
            {
                need.last_jobs = Some((*least, *newest));
            }
        }
    }

    fn of(&self, model: &str) -> ModelNeed {
        self.models.get(model).copied().unwrap_or_default()
    }
}

/// How badly a load is wanted; the first is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LoadClass {
    /// Open jobs can't use the engine.
    Missing,
    /// The next job can't use it.
    NextJob,
    /// It is usable, and idle.
    Spare,
}

fn class_of(target: &LoadTarget<'_>, need: &ModelNeed) -> Option<LoadClass> {
    if !target.can_load || target.version >= target.newest {
        return None;
    }
    if target.version < need.oldest_usable() {
        return Some(match need.is_open {
            true => LoadClass::Missing,
            false => LoadClass::NextJob,
        });
    }
    (need.is_open && !target.is_busy).then_some(LoadClass::Spare)
}

/// Returns the place of the target that should load next.
pub fn next_load(
    targets: &[LoadTarget<'_>],
    needs: &ModelNeeds,
    engine_count: usize,
) -> Option<usize> {
    let models: BTreeSet<&str> = targets.iter().map(|it| it.model).collect();
    let quota = engine_count.div_ceil(models.len().max(1));
    let mut fresh: BTreeMap<&str, usize> = BTreeMap::new();
    let mut usable: BTreeMap<&str, usize> = BTreeMap::new();
    let mut uses: BTreeMap<&str, usize> = BTreeMap::new();
    for target in targets {
        if target.is_loading || target.version >= target.newest {
            *fresh.entry(target.model).or_default() += 1;
        }
        if target.is_loading || target.version >= needs.of(target.model).oldest_usable() {
            *usable.entry(target.model).or_default() += 1;
            *uses.entry(target.id).or_default() += 1;
        }
    }
    let count = |counts: &BTreeMap<&str, usize>, key: &str| counts.get(key).copied().unwrap_or(0);
    let rank = |target: &LoadTarget<'_>| {
        let class = class_of(target, &needs.of(target.model))?;
        if count(&fresh, target.model) >= quota {
            return None;
        }
        let scarcity = count(&usable, target.model);
        Some((class, scarcity, count(&uses, target.id), target.version))
    };
    let ranked = targets.iter().enumerate();
    ranked
        .filter_map(|(place, target)| Some((rank(target)?, place)))
        .min()
        .map(|(_, place)| place)
}
