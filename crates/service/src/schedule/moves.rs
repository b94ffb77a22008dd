//! Observed progress of the runs, and their moves to other engines.

use std::collections::HashMap;

use super::ItemScheduler;
use crate::engine_speed::EventSpan;
use crate::engine_speed::loaded_event_ms;
use crate::item_queue::PlannedMove;
use crate::migration::MovableRun;
use crate::migration::MovePlanner;
use crate::migration::MoveTarget;
use crate::migration::RunMove;
use crate::placement::known_typical_ms;
use crate::placement::typical_ms;
use crate::work::EngineSlot;
use crate::work::RunKey;
use crate::work::RunMark;
use crate::work::TextOrigin;
use bergamotlane_coordination::clock::ClockTime;

/// Age from which a run may be moved to another engine, in milliseconds.
const MIN_MOVE_AGE_MS: u64 = 400;

/// Time for which a slot is kept for a run that moves, in milliseconds.
const MOVE_HOLD_MS: u64 = 300;

impl ItemScheduler {
    /// Adds the progress of the runs, as observed every 200 ms, to the speeds of their engines, and
    /// forgets engines that left.
    pub fn observe(
        &mut self,
        now: ClockTime,
        engines: &[EngineSlot],
        marks: impl IntoIterator<Item = (RunKey, RunMark)>,
    ) {
        for slot in engines {
            if let Some(load) = self.loads.get_mut(&slot.id) {
                load.usable_at = now;
            }
        }
        self.loads.retain(|_, it| it.is_current(now));
        let typical_ms = typical_ms(now, &self.loads, engines);
        let mut spans: HashMap<&str, EventSpan> = HashMap::new();
        let mut latest = Vec::new();
        for (key, mark) in marks {
            let Some(run) = self.runs.get(&key) else {
                continue;
            };
            if let Some(earlier) = run.mark {
                let span = spans.entry(&run.engine).or_default();
                span.events += mark.events.saturating_sub(earlier.events);
                span.elapsed_ms += mark.last_at.since(earlier.last_at) as f64;
            }
            latest.push((key, mark));
        }
        for (engine, span) in spans {
            if let Some(load) = self.loads.get_mut(engine) {
                load.speed.observe(now, span, load.running, typical_ms);
            }
        }
        for (key, mark) in latest {
            if let Some(run) = self.runs.get_mut(&key) {
                run.mark = Some(mark);
            }
        }
    }

    /// Returns the number of events that an item was expected to have when its run began.
    pub fn expected_events(&self, key: RunKey) -> Option<f64> {
        self.runs.get(&key).map(|it| it.expected_events)
    }

    /// Returns the runs that should move to another engine. The caller must stop them; they resume
    /// there. Returns none while fewer than three engines have had runs.
    pub fn plan_moves(&mut self, now: ClockTime, engines: &[EngineSlot]) -> Vec<RunMove> {
        let Some(typical_ms) = known_typical_ms(now, &self.loads, engines) else {
            return Vec::new();
        };
        self.reserve_slots(now);
        let runs = self.movable_runs(now, typical_ms);
        let targets = self.move_targets(now, engines, typical_ms);
        let moves = MovePlanner::new(runs, targets, &self.longest_waiting()).plan(now);
        for planned in &moves {
            if let Some(run) = self.runs.get_mut(&planned.run) {
                run.stopping = true;
            }
            let Some(queue) = self.jobs.get_mut(&planned.job) else {
                continue;
            };
            let left = queue.left_engines.entry(planned.item).or_default();
            left.push(planned.from.clone());
            let target = PlannedMove {
                engine: planned.to.clone(),
                until: now + MOVE_HOLD_MS,
            };
            queue.planned.insert(planned.item, target);
        }
        moves
    }

    fn movable_runs(&self, now: ClockTime, typical_ms: f64) -> Vec<MovableRun<'_>> {
        let runs = self.runs.iter().filter_map(|(key, run)| {
            let queue = self.jobs.get(&run.job)?;
            let load = self.loads.get(&run.engine)?;
            let events = run.events();
            let query = queue.length_query(run.item, events);
            let expected = self
                .lengths
                .expected_events(&queue.constraints.model, query);
            let alone_ms = load.speed.event_ms(now, typical_ms);
            Some(MovableRun {
                key: *key,
                job: &run.job,
                item: run.item,
                engine: &run.engine,
                constraints: &queue.constraints,
                origin: TextOrigin {
                    has_events: events > 0,
                    versions: &run.versions,
                    build: run.build.as_ref(),
                },
                remaining_events: expected - f64::from(events),
                event_ms: loaded_event_ms(alone_ms, load.running),
                left_engines: queue.left_engines(run.item),
                is_settled: !run.stopping && now.since(run.started) >= MIN_MOVE_AGE_MS,
            })
        });
        runs.collect()
    }

    /// Returns the engines to which runs may move: those that are warm, name no limit and have not
    /// failed lately.
    fn move_targets<'a>(
        &self,
        now: ClockTime,
        engines: &'a [EngineSlot],
        typical_ms: f64,
    ) -> Vec<MoveTarget<'a>> {
        let targets = engines.iter().filter_map(|slot| {
            let load = self.loads.get(&slot.id);
            let is_open = slot.permits.is_none() && load.is_none_or(|it| !it.is_held(now));
            is_open.then(|| MoveTarget {
                slot,
                alone_ms: load.map_or(typical_ms, |it| it.speed.event_ms(now, typical_ms)),
                runs: load.map_or(0, |it| it.running + it.reserved),
            })
        });
        targets.collect()
    }

    /// Returns the job, model and expected events of the first waiting item of each job.
    fn longest_waiting(&self) -> Vec<(&str, &str, f64)> {
        let waiting = self.jobs.iter().filter_map(|(id, queue)| {
            let item = *queue.waiting.front()?;
            let partial = queue.partials.get(&item);
            let events = partial.map_or(0, |it| it.events.len() as u32);
            let model = queue.constraints.model.as_str();
            let query = queue.length_query(item, events);
            let expected = self.lengths.expected_events(model, query);
            Some((id.as_str(), model, expected - f64::from(events)))
        });
        waiting.collect()
    }
}
