//! Choice of the engine and model whose weights are loaded next: a rolling refresh, starting with
//! the model that has the fewest usable engines.
//!
//! Only a few engines load at a time, so with several models not every engine can load every
//! version. A version stays usable for as many training steps as jobs accept older weights. An
//! engine that reloads only once its weights are no longer usable serves all of these steps for
//! one load. Engines therefore take turns, which keeps more of them usable than could be
//! reloaded for each version. An engine whose weights are still usable reloads only while it
//! runs no items of the model.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;

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

/// Place of a due load among those of its model and urgency: number of models that the engine can serve,
/// version, and index of the target.
type LoadRank = (usize, u64, usize);

/// Loads that are due for one model.
#[derive(Debug, Default)]
struct ModelQueue {
    need: ModelNeed,
    /// Number of engines with the newest version, those that load it included.
    fresh: usize,
    /// Number of engines whose version is usable, those that load the newest one included.
    usable: usize,
    /// Due loads by urgency.
    due: BTreeMap<LoadUrgency, BinaryHeap<Reverse<LoadRank>>>,
}

/// Targets by numbers of their engines and models.
#[derive(Debug, Default)]
struct LoadIndex {
    models: Vec<ModelQueue>,
    /// Number of the model and of the engine of each target.
    places: Vec<(usize, usize)>,
    /// Number of models that each engine can serve.
    usable_models: Vec<usize>,
}

impl LoadIndex {
    fn new(targets: &[LoadTarget<'_>], needs: &ModelNeeds) -> Self {
        let mut index = Self::default();
        let mut models: BTreeMap<&str, usize> = BTreeMap::new();
        let mut engines: HashMap<&str, usize> = HashMap::new();
        let mut last: Option<(&str, usize)> = None;
        for target in targets {
            let count = engines.len();
            // The models of an engine mostly follow one another.
            let engine = match last.filter(|(id, _)| *id == target.id) {
                Some((_, engine)) => engine,
                None => *engines.entry(target.id).or_insert(count),
            };
            last = Some((target.id, engine));
            index.usable_models.resize(engines.len(), 0);
            let model = *models.entry(target.model).or_insert_with(|| {
                index.models.push(ModelQueue {
                    need: needs.of(target.model),
                    ..ModelQueue::default()
                });
                index.models.len() - 1
            });
            index.places.push((model, engine));
            let queue = &mut index.models[model];
            if target.is_loading || target.version >= target.newest {
                queue.fresh += 1;
            }
            if target.is_loading || target.version >= queue.need.oldest_usable() {
                queue.usable += 1;
                index.usable_models[engine] += 1;
            }
        }
        index
    }

    /// Queues the loads that are due.
    fn queue_due(&mut self, targets: &[LoadTarget<'_>]) {
        let mut due: BTreeMap<(usize, LoadUrgency), Vec<_>> = BTreeMap::new();
        for (number, target) in targets.iter().enumerate() {
            let (model, engine) = self.places[number];
            if let Some(urgency) = urgency_of(target, &self.models[model].need) {
                let rank = (self.usable_models[engine], target.version, number);
                due.entry((model, urgency)).or_default().push(Reverse(rank));
            }
        }
        for ((model, urgency), ranks) in due {
            self.models[model].due.insert(urgency, ranks.into());
        }
    }

    /// Returns the most urgent load of an engine that is not among the taken ones.
    fn take_next(&mut self, quota: usize, taken: &[bool]) -> Option<usize> {
        let mut best = None;
        for (model, queue) in self.models.iter_mut().enumerate() {
            if queue.fresh >= quota {
                continue;
            }
            for (urgency, due) in &mut queue.due {
                while let Some(Reverse((_, _, number))) = due.peek()
                    && taken[self.places[*number].1]
                {
                    due.pop();
                }
                let Some(Reverse(rank)) = due.peek() else {
                    continue;
                };
                let key = (*urgency, queue.usable, *rank, model);
                best = Some(best.map_or(key, |it| key.min(it)));
            }
        }
        let (urgency, _, (_, _, number), model) = best?;
        self.models[model].due.get_mut(&urgency)?.pop();
        Some(number)
    }

    /// Counts the engine of a target as one that loads the newest version.
    fn count_load(&mut self, number: usize, target: &LoadTarget<'_>) {
        if target.is_loading {
            return;
        }
        let queue = &mut self.models[self.places[number].0];
        queue.fresh += 1;
        if target.version < queue.need.oldest_usable() {
            queue.usable += 1;
        }
    }
}

/// Returns the indices in `targets` of the loads to start next, at most `limit`, in the order of their
/// urgency; an engine loads one model at a time.
///
/// `engine_count` is the number of engines. Each model gets its share of them, rounded up, with
/// the newest version.
pub fn next_loads(
    targets: &[LoadTarget<'_>],
    needs: &ModelNeeds,
    engine_count: usize,
    limit: usize,
) -> Vec<usize> {
    let mut loads = Vec::new();
    if limit == 0 {
        return loads;
    }
    let mut index = LoadIndex::new(targets, needs);
    index.queue_due(targets);
    let quota = engine_count.div_ceil(index.models.len().max(1));
    let mut taken = vec![false; index.usable_models.len()];
    while loads.len() < limit {
        let Some(number) = index.take_next(quota, &taken) else {
            break;
        };
        taken[index.places[number].1] = true;
        index.count_load(number, &targets[number]);
        loads.push(number);
    }
    loads
}
