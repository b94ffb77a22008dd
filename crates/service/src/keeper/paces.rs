//! Observation of the runs in progress, and their moves to faster engines.

use super::core::KeeperCore;
use super::lead::RunHandle;
use crate::dialect::TargetDialect;
use crate::metrics::METRICS;
use crate::migration::RunMove;
use bergamotlane_coordination::clock::ClockTime;

/// Interval at which the pace of runs is checked and gauges are updated, in milliseconds.
const PACE_INTERVAL_MS: u64 = 200;

impl<D: TargetDialect> KeeperCore<D> {
    /// Updates gauges and the observed speeds of engines, and stops runs that other engines complete
    /// sooner, so that these resume them.
    pub(super) fn check_run_paces(&mut self, time: ClockTime) {
        if self.lead.as_ref().is_none_or(|it| time < it.pace_due) {
            return;
        }
        self.update_fleet(time);
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.pace_due = time + PACE_INTERVAL_MS;
        METRICS.lead_term.set(lead.term as i64);
        METRICS.items_waiting.set(lead.scheduler.waiting() as i64);
        METRICS.runs_active.set(lead.runs.len() as i64);
        let (scores_waiting, calls_active) = lead.scores.counts();
        METRICS.scores_waiting.set(scores_waiting as i64);
        METRICS.reward_calls_active.set(calls_active as i64);
        let (held, held_bytes) = lead.listing.size();
        METRICS.results_held.set(held as i64);
        METRICS.held_text_bytes.set(held_bytes as i64);
        METRICS.targets.set(lead.registry.len() as i64);
        let runs = lead.runs.iter();
        let marks = runs.filter_map(|(key, run)| Some((*key, run.progress.mark()?)));
        lead.scheduler.observe(time, lead.fleet.slots(), marks);
        for planned in lead.scheduler.plan_moves(time, lead.fleet.slots()) {
            if let Some(run) = lead.runs.get_mut(&planned.run) {
                log_move(run, &planned);
                METRICS.runs_moved.inc();
                run.stop = None;
            }
        }
    }
}

fn log_move(run: &RunHandle, planned: &RunMove) {
    spdlog::info!("item: moves to a faster engine", kv: {
        job = planned.job.as_str(),
        item = run.key.item.as_str(),
        from = planned.from.as_str(),
        to = planned.to.as_str(),
        gain_ms = planned.gain_ms as i64,
        remaining_events = planned.remaining_events as u64,
        from_event_ms = planned.from_event_ms,
        to_event_ms = planned.to_event_ms,
    });
}
