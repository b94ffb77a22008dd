//! Choice of the engine and model whose weights are loaded next: a rolling refresh, starting with
//! the model that has the fewest usable engines.
//!
//! Only a few engines load at a time, so with several models not every engine can load every
//! version. A version stays usable for as many training steps as jobs accept older weights. An
//! engine that reloads only once its weights are no longer usable serves all of these steps for
//! one load. Engines therefore take turns, which keeps more of them usable than could be
//! reloaded for each version. An engine whose weights are still usable reloads only while it
//! runs no items of the model.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Weights of one model on one engine.
#[derive(Debug, Clone, Copy)]
pub struct LoadTarget<'a> {
    /// ID of the engine.
    pub id: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Weight version on the engine.
    pub version: u64,
    /// Newest weight version of the model.
    pub newest: u64,
    /// Whether the engine runs items of the model.
    pub is_busy: bool,
    /// Whether the engine is loading the newest version.
    pub is_loading: bool,
    /// Whether the engine may be ordered to load now.
    pub can_load: bool,
}

/// Weight versions that the jobs of a model need.
#[derive(Debug, Default, Clone, Copy)]
struct ModelNeed {
    newest: u64,
    /// Oldest version that the latest jobs accepted, and the newest one at that time.
    last_jobs: Option<(u64, u64)>,
    /// Whether the model has open jobs.
    is_open: bool,
}

impl ModelNeed {
    /// Returns the oldest version that all open jobs accept or, if there are none, that the next job
    /// is expected to accept.
    fn oldest_usable(&self) -> u64 {
        let Some((oldest, newest)) = self.last_jobs else {
            return self.newest;
        };
        if self.is_open {
            return oldest;
        }
        // A job comes with each new version. If the newest version is newer than that of the
        // latest jobs, its job is due now; otherwise the next job comes with the next version.
        let lag = newest.saturating_sub(oldest);
        let next = match self.newest > newest {
            true => self.newest,
            false => self.newest + 1,
        };
        next.saturating_sub(lag).min(self.newest)
    }
}

/// Weight versions that jobs need, by model.
#[derive(Debug, Default)]
pub struct ModelNeeds {
    models: BTreeMap<String, ModelNeed>,
}

impl ModelNeeds {
    /// Updates the newest version of each model, and the oldest version that all its open jobs
    /// accept; a model without open jobs is missing from `oldest`.
    pub fn update(&mut self, newest: &BTreeMap<String, u64>, oldest: &BTreeMap<String, u64>) {
        for (model, newest) in newest {
            let need = self.models.entry(model.clone()).or_default();
            need.newest = *newest;
            let open = oldest.get(model);
            need.is_open = open.is_some();
            if let Some(oldest) = open
                && need.last_jobs.is_none_or(|(known, _)| known < *oldest)
            {
                need.last_jobs = Some((*oldest, *newest));
            }
        }
    }

    fn of(&self, model: &str) -> ModelNeed {
        self.models.get(model).copied().unwrap_or_default()
    }
}

/// Urgency of a load; earlier variants are more urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LoadUrgency {
    /// Open jobs can't use the engine with its current weights.
    Missing,
    /// The next job can't use the engine with its current weights.
    NextJob,
    /// The engine's weights are usable, and it is idle.
    Idle,
}

/// Returns the urgency of a load, or `None` if the engine should or may not load now.
fn urgency_of(target: &LoadTarget<'_>, need: &ModelNeed) -> Option<LoadUrgency> {
    if !target.can_load || target.version >= target.newest {
        return None;
    }
    if target.version < need.oldest_usable() {
        return Some(match need.is_open {
            true => LoadUrgency::Missing,
            false => LoadUrgency::NextJob,
        });
    }
    (need.is_open && !target.is_busy).then_some(LoadUrgency::Idle)
}

/// Returns the index in `targets` of the load to start next, or `None` if no load is due.
///
/// `engine_count` is the number of engines. Each model gets its share of them, rounded up, with
/// the newest version.
pub fn next_load(
    targets: &[LoadTarget<'_>],
    needs: &ModelNeeds,
    engine_count: usize,
) -> Option<usize> {
    let models: BTreeSet<&str> = targets.iter().map(|it| it.model).collect();
    let quota = engine_count.div_ceil(models.len().max(1));
    let mut fresh: BTreeMap<&str, usize> = BTreeMap::new();
    let mut usable: BTreeMap<&str, usize> = BTreeMap::new();
    let mut usable_models: BTreeMap<&str, usize> = BTreeMap::new();
    for target in targets {
        if target.is_loading || target.version >= target.newest {
            *fresh.entry(target.model).or_default() += 1;
        }
        if target.is_loading || target.version >= needs.of(target.model).oldest_usable() {
            *usable.entry(target.model).or_default() += 1;
            *usable_models.entry(target.id).or_default() += 1;
        }
    }
    let count = |counts: &BTreeMap<&str, usize>, key: &str| counts.get(key).copied().unwrap_or(0);
    let rank = |target: &LoadTarget<'_>| {
        let urgency = urgency_of(target, &needs.of(target.model))?;
        if count(&fresh, target.model) >= quota {
            return None;
        }
        let scarcity = count(&usable, target.model);
        Some((
            urgency,
            scarcity,
            count(&usable_models, target.id),
            target.version,
        ))
    };
    let ranked = targets.iter().enumerate();
    ranked
        .filter_map(|(index, target)| Some((rank(target)?, index)))
        .min()
        .map(|(_, index)| index)
}
