//! Assignment of waiting items to engines.

use std::collections::BTreeSet;

use super::ActiveRun;
use super::ItemScheduler;
use crate::item_queue::ItemQueue;
use crate::placement::EngineTable;
use crate::placement::PlacementQuery;
use crate::work::EngineSlot;
use crate::work::PartialText;
use crate::work::RunKey;
use crate::work::RunStart;
use bergamotlane_coordination::clock::ClockTime;

impl ItemScheduler {
    /// Assigns waiting items to engines and returns the runs to start.
    pub fn assign(&mut self, now: ClockTime, engines: &[EngineSlot]) -> Vec<RunStart> {
        let mut starts = Vec::new();
        self.reserve_slots(now);
        let mut table = EngineTable::new(now, &self.loads, engines);
        // Jobs by the latest start time of their next item.
        let mut next_starts: BTreeSet<(ClockTime, String)> = self
            .jobs
            .iter()
            .filter_map(|(id, queue)| Some((queue.next_start()?, id.clone())))
            .collect();
        while let Some((_, id)) = next_starts.pop_first() {
            // A job that finds no engine with a free slot waits for the next call.
            let Some(start) = self.start_next(now, &id, &mut table) else {
                continue;
            };
            starts.push(start);
            if let Some(next) = self.jobs.get(&id).and_then(ItemQueue::next_start) {
                next_starts.insert((next, id));
            }
        }
        starts
    }

    /// Counts the slots that are kept for runs that move, and forgets moves that took too long.
    pub(super) fn reserve_slots(&mut self, now: ClockTime) {
        for load in self.loads.values_mut() {
            load.reserved = 0;
        }
        for queue in self.jobs.values_mut() {
            queue.planned.retain(|_, it| now < it.until);
            for planned in queue.planned.values() {
                let load = self.loads.entry(planned.engine.clone()).or_default();
                load.reserved += 1;
            }
        }
    }

    /// Returns the index of the engine where the next item of a job should run. An item that moves
    /// waits for the slot that another run leaves to it.
    fn place_next(&mut self, id: &str, table: &mut EngineTable<'_>) -> Option<usize> {
        let queue = self.jobs.get_mut(id)?;
        let item = *queue.waiting.front()?;
        let planned = queue.planned.get(&item);
        if let Some(index) = planned.and_then(|it| table.position(&it.engine)) {
            let engine = &mut table.entries[index];
            let has_slot = engine.has_kept_slot(&queue.constraints, queue.partials.get(&item));
            if has_slot == Some(false) {
                return None;
            }
            engine.release_slot();
            if has_slot.is_some() {
                queue.planned.remove(&item);
                return Some(index);
            }
        }
        queue.planned.remove(&item);
        let partial = queue.partials.get(&item);
        let events = partial.map_or(0, |it| it.events.len() as u32);
        let model = &queue.constraints.model;
        let query = queue.length_query(item, events);
        let group = queue.groups[item as usize];
        let query = PlacementQuery {
            constraints: &queue.constraints,
            partial,
            expected_events: self.lengths.expected_events(model, query),
            mean_events: self.lengths.mean_events(model),
            preferred: queue.group_engine.get(&group).map(String::as_str),
        };
        table.choose(id, query)
    }

    /// Starts the next item of a job if an engine has a free slot for it.
    fn start_next(
        &mut self,
        now: ClockTime,
        id: &str,
        table: &mut EngineTable<'_>,
    ) -> Option<RunStart> {
        let index = self.place_next(id, table)?;
        table.entries[index].add_run();
        let engine = table.entries[index].slot;
        let queue = self.jobs.get_mut(id)?;
        let item = queue.waiting.pop_front()?;
        let group = queue.groups[item as usize];
        let version = engine.models.get(&queue.constraints.model);
        let version = version.copied().unwrap_or_default();
        let partial = queue.partials.remove(&item).unwrap_or_default();
        let (partial, discarded_events) = resumed_text(partial, queue, engine, version);
        if !partial.events.is_empty() {
            queue.partials.insert(item, partial.clone());
        }
        queue.group_engine.insert(group, engine.id.clone());
        self.next_run += 1;
        let run = RunKey(self.next_run);
        let load = self.loads.entry(engine.id.clone()).or_default();
        load.running += 1;
        let mut versions = partial.versions.clone();
        versions.push(version);
        let resumed_events = partial.events.len() as u32;
        let query = queue.length_query(item, resumed_events);
        let active = ActiveRun {
            job: id.to_owned(),
            item,
            engine: engine.id.clone(),
            started: now,
            stopping: false,
            versions,
            build: engine.build.clone(),
            resumed_events,
            expected_events: self
                .lengths
                .expected_events(&queue.constraints.model, query),
            mark: None,
        };
        self.runs.insert(run, active);
        Some(RunStart {
            run,
            job: id.to_owned(),
            item,
            engine: engine.id.clone(),
            version,
            partial,
            discarded_events,
        })
    }
}

/// Returns the text from which a run at an engine resumes, and the number of events that it can't
/// resume from.
fn resumed_text(
    partial: PartialText,
    queue: &ItemQueue,
    engine: &EngineSlot,
    version: u64,
) -> (PartialText, u32) {
    let build = engine.build.clone();
    match partial.can_resume(&queue.constraints, version, build.as_ref()) {
        true => (PartialText { build, ..partial }, 0),
        false => {
            let text = PartialText {
                build,
                ..PartialText::default()
            };
            (text, partial.events.len() as u32)
        }
    }
}
