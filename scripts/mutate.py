#!/usr/bin/env python3
"""Mutation tests: checks that the tests of the invariants detect a missing mechanism.

Each mutation disables one mechanism in a copy of the sources and runs the test that
docs/INVARIANTS.md names for it; the test must fail. The copy is in a temporary folder, and
its build in target/mutants. Not part of CI, because each mutation needs a build.

Usage: scripts/mutate.py [NAME]...
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent

# name, file, text to replace, replacement, package, test
MUTATIONS = [
    ("vote-promise", "coordination/src/consensus/election.rs",
     "_ => now < self.votes_withheld_until,", "_ => false,",
     "bergamotlane-coordination", "randomised_schedules_preserve_safety_and_progress"),
    ("lease-quorum", "coordination/src/consensus/lease.rs",
     "membership.quorum() - 1", "0",
     "bergamotlane-coordination", "randomised_schedules_preserve_safety_and_progress"),
    ("commit-quorum", "coordination/src/consensus/replication.rs",
     "matched.get(membership.quorum() - 1)", "matched.first()",
     "bergamotlane-coordination", "randomised_schedules_preserve_safety_and_progress"),
    ("log-matching", "coordination/src/consensus/replication.rs",
     "self.log.term_at(prev_index) == Some(prev_term)", "prev_index <= self.log.last_index()",
     "bergamotlane-coordination", "randomised_schedules_preserve_safety_and_progress"),
    ("vote-log-end", "coordination/src/consensus/election.rs",
     "term == self.vote.term && can_vote && end >= self.log_end()",
     "term == self.vote.term && can_vote",
     "bergamotlane-coordination", "a_voter_refuses_a_candidate_that_lacks_entries"),
    ("in-force-waits", "coordination/src/freshness.rs",
     "now >= self.complete_from && self.lagging(now, index) == 0", "now >= self.complete_from",
     "bergamotlane-coordination", "in_force_means_that_nobody_acts_on_an_older_view"),
    ("slot-grace", "coordination/src/ledger.rs",
     "unknown_until: if may_be_held { now + grace } else { now },", "unknown_until: now,",
     "bergamotlane-policy", "nine_entries_never_exceed_the_slots_of_a_cold_target"),
    ("slot-longest-request", "coordination/src/ledger.rs",
     "now < entry.grant.until + longest", "now < entry.grant.until",
     "bergamotlane-policy", "nine_entries_never_exceed_the_slots_of_a_cold_target"),
    ("late-slot-answer", "policy/src/targets/grants.rs",
     "later.map(|(_, want)| *want).fold(count, u32::min)", "{ drop(later); count }",
     "bergamotlane-policy", "nine_entries_never_exceed_the_slots_of_a_cold_target"),
    ("sample-age", "policy/src/control/rollout.rs",
     "        self.drop_outdated(row);\n", "",
     "bergamotlane-policy", "every_sample_is_delivered_once_unchanged_and_not_outdated"),
    ("dropped-attempt", "policy/src/control/rollout.rs",
     "if batch.revision != revision {", "if false {",
     "bergamotlane-policy", "every_sample_is_delivered_once_unchanged_and_not_outdated"),
    ("group-resubmitted", "policy/src/control/rollout.rs",
     "if self.groups.contains_key(&group.id) {", "if false {",
     "bergamotlane-policy", "every_sample_is_delivered_once_unchanged_and_not_outdated"),
    ("usage-sequence", "policy/src/control/usage.rs",
     "if sequence != self.merged(run) + 1 {", "if false {",
     "bergamotlane-policy", "usage_counts_once_and_closed_windows_stay"),
    ("withdrawn-kept", "policy/src/control/config.rs",
     "all.filter(|(hash, _)| !self.withdrawn.contains(*hash))", "all",
     "bergamotlane-policy", "a_sheet_revives_no_withdrawn_key_and_no_pulled_zone"),
    ("claim-resend", "policy/src/control/claim.rs",
     "_ => ClaimOutcome::MayHaveRun {},", "_ => ClaimOutcome::Granted {},",
     "bergamotlane-policy", "a_claimed_call_is_granted_once"),
    ("key-stripped", "daemon/src/serve/keys.rs",
     "if !carries_key && !is_hop_header", "if !is_hop_header",
     "bergamotlaned", "no_place_that_may_carry_a_key_reaches_a_target"),
    ("log-checksum", "storage/src/record.rs",
     "payload.len() == length && checksum(&payload) == sum", "payload.len() == length && sum != 1",
     "bergamotlane-storage", "a_flipped_byte_is_never_read_as_content"),
    ("standing-of-candidate", "coordination/src/consensus/election.rs",
     "let undecided = self.role == NodeRole::Candidate;", "let undecided = false;",
     "bergamotlane-coordination", "a_candidate_does_not_report_on_the_term"),
    ("standing-of-older-term", "coordination/src/consensus/election.rs",
     "known_until.is_some_and(|term| *term >= self.vote.term)",
     "known_until.is_some()",
     "bergamotlane-coordination", "votes_are_granted_early_once"),
    ("standing-of-some", "coordination/src/consensus/election.rs",
     "others.all(|node| {", "others.any(|node| {",
     "bergamotlane-coordination", "randomised_schedules_preserve_safety_and_progress"),
    ("late-announcement", "service/src/registry.rs",
     "&& age <= (old.announcement.born, old.announcement.sequence)", "&& age.0 < old.announcement.born",
     "bergamotlane-service", "announcements_are_ordered_by_start_time_and_sequence_number"),
    ("least-version", "service/src/placement.rs",
     "version.is_none_or(|it| *it < constraints.min_version)", "version.is_none()",
     "bergamotlane-service", "an_engine_below_the_minimum_version_gets_no_runs"),
    ("echoed-id", "service/src/forward/attempt.rs",
     "if metadata.request_id.as_ref() != Some(&request.id) {", "if false {",
     "bergamotlane-service", "a_late_refusal_of_an_earlier_request_is_not_taken_for_an_answer"),
    ("event-order", "service/src/run.rs",
     "Some(last) => id == last + 1,", "Some(last) => id > last,",
     "bergamotlane-service", "a_stream_with_a_gap_is_truncated_before_the_gap"),
    ("first-figures", "service/src/state.rs",
     "self.windows.entry(window).or_insert(WindowRecord {", "self.windows.insert(window, WindowRecord {",
     "bergamotlane-service", "the_first_counts_of_a_closed_window_are_kept"),
    ("clean-truncation", "daemon/src/engine.rs",
     "_ => return Err(AttemptEnd::Broken),\n            }\n        }\n    }\n\n    /// Takes",
     "_ => return Err(AttemptEnd::Finished(String::new())),\n            }\n        }\n    }\n\n    /// Takes",
     "bergamotlaned", "a_generation_is_complete_although_its_engine_fails"),
    ("token-order", "daemon/src/engine.rs",
     "(Some(index), Some(version)) if index == expected", "(Some(index), Some(version))",
     "bergamotlaned", "a_generation_is_complete_although_its_engine_fails"),
    ("claim-before-send", "daemon/src/serve/lookup.rs",
     "let claim = match repeatable {\n        true => None,", "let claim = match true {\n        true => None,",
     "bergamotlaned", "an_unrepeatable_call_runs_once_although_its_instance_crashes"),
    ("unrepeatable-retried", "daemon/src/serve/attempts.rs",
     "AttemptFailure::Sent(refusal) if !repeatable => {", "AttemptFailure::Sent(refusal) if false => {",
     "bergamotlaned", "a_faulty_target_gives_a_complete_answer_or_an_accurate_refusal"),
    ("freshness-checked", "daemon/src/serve/callers.rs",
     "if customer.is_some() && !fresh {", "if customer.is_some() && !fresh && false {",
     "bergamotlaned", "an_instance_partitioned_from_the_leader_serves_open_routes_only"),
    ("stream-key-checked", "daemon/src/serve/generate.rs",
     "if !is_still_allowed(&context, &service, key.as_ref()) {", "if false && !is_still_allowed(&context, &service, key.as_ref()) {",
     "bergamotlaned", "a_withdrawn_key_is_rejected_everywhere_and_ends_running_streams"),
    ("pulled-zone", "policy/src/route.rs",
     "zones: zones.difference(&config.pulled).cloned().collect(),", "zones: zones.clone(),",
     "bergamotlaned", "a_pulled_zone_and_a_leaving_target_get_no_new_work"),
    ("foreign-customer", "policy/src/route.rs",
     "match allowed || service.open {", "match allowed || true {",
     "bergamotlaned", "a_key_runs_requests_of_its_own_customer_only"),
    ("shutdown-waits", "daemon/src/daemon.rs",
     "    sleep(Duration::from_millis(config.drain_ms)).await;\n", "    std::process::exit(0);\n    #[allow(unreachable_code)]\n",
     "bergamotlaned", "a_graceful_shutdown_interrupts_no_request"),
    ("report-committed-first", "policy/src/control/usage.rs",
     "        if window != self.open_window {\n            return false;\n        }\n", "",
     "bergamotlane-policy", "usage_counts_once_and_closed_windows_stay"),
    ("unscored-listed", "service/src/keeper/work.rs",
     "result.end == ItemEnd::Completed && self.needs_score(&job, result.item)", "false",
     "bergamotlane-platform", "items_are_listed_with_the_score_of_their_own_reward_call"),
    ("unscored-forgotten", "service/src/keeper/admit.rs",
     "it.is_complete && item.reward.is_some()", "false",
     "bergamotlane-platform", "a_new_leader_scores_the_complete_text_of_a_lost_leader"),
    ("text-journal", "service/src/keeper/texts.rs",
     "journal.append(&deltas, &self.texts);", "let _ = (&journal, &deltas);",
     "bergamotlane-platform", "an_item_resumes_after_all_keepers_were_killed"),
    ("members-told", "service/src/keeper/peers.rs",
     "if *self.directory.members() != self.sent_members {", "if false {",
     "bergamotlane-platform", "entries_find_the_group_after_a_restart_with_outdated_seeds"),
    ("late-leaving", "service/src/keeper/calls.rs",
     "!draining && self.state.is_leaving(&id, born, false)", "false",
     "bergamotlane-platform", "a_departed_target_stays_gone_at_the_next_leader"),
    ("stalled-stream", "service/src/run.rs",
     "limits.silence.min(stall_left)", "{ let _ = stall_left; limits.silence }",
     "bergamotlane-service", "an_answer_without_end_ends_the_run"),
    ("endless-text", "service/src/run.rs",
     "if text_bytes > limits.text_bytes {", "if false {",
     "bergamotlane-service", "an_answer_without_end_ends_the_run"),
    ("duty-turn", "service/src/turns.rs",
     "*last_term == term || now.since(*at) >= self.turn_ms,", "true,",
     "bergamotlane-service", "no_holder_acts_again_within_the_turn_time_of_its_last_action"),
    ("duty-restart", "service/src/turns.rs",
     "now >= self.unknown_until", "true",
     "bergamotlane-service", "no_holder_acts_again_within_the_turn_time_of_its_last_action"),
    ("duty-lease", "service/src/lease_watch.rs",
     "if !self.covers(0) {", "if false {",
     "bergamotlane-service", "an_exchange_whose_lease_is_over_takes_no_further_step"),
    ("reward-errors", "service/src/scoring.rs",
     "queued.server_errors += end.server_errors;", "",
     "bergamotlane-service", "an_item_is_given_up_once_at_its_limit_of_server_errors"),
    ("reward-of-ended-job", "service/src/scoring.rs",
     "self.tasks.extract_if(.., |_, it| it.task.job == job)",
     "self.tasks.extract_if(.., |_, _| false)",
     "bergamotlane-service", "the_items_of_an_ended_job_are_dropped_and_late_answers_ignored"),
    ("cold-window", "service/src/engine_load.rs",
     "now.since(*it) >= COLD_WINDOW_MS", "now.since(*it) >= 1_000",
     "bergamotlane-service",
     "a_burst_that_arrives_late_does_not_add_up_with_the_next_one_on_a_cold_engine"),
    ("leaving-target", "service/src/registry.rs",
     "entry.stage = TargetStage::Draining;\n        entry.announcement.is_draining = true;", "",
     "bergamotlane-service", "a_leaving_target_is_known_to_the_next_leader"),
    ("named-limit", "service/src/forward.rs",
     "let Some(rate) = target.entry.rate_limit else {",
     "let Some(rate) = target.entry.rate_limit.filter(|_| false) else {",
     "bergamotlane-platform", "all_entries_together_keep_the_limit_that_a_target_names"),
    ("limit-of-items", "service/src/engine_load.rs",
     "if engine.permits.is_some_and(|it| self.used_permits >= it) {", "if false {",
     "bergamotlane-service", "a_step_starts_no_more_items_than_the_engines_permit"),
    ("limit-share", "service/src/permits.rs",
     "query.rate.share(query.sharers)", "query.rate",
     "bergamotlane-service", "without_a_leader_a_process_spends_only_its_share"),
    ("limit-next-leader", "service/src/registry.rs",
     "rate_limit: view.rate_limit.map(RequestRate),", "rate_limit: None,",
     "bergamotlane-service",
     "a_limit_holds_until_a_later_answer_or_start_of_the_target_ends_it"),
    ("quarantine", "policy/src/suspect.rs",
     "const QUARANTINE_CRASHES: u32 = 2;", "const QUARANTINE_CRASHES: u32 = 2_000;",
     "bergamotlane-platform", "a_request_that_crashes_its_targets_is_stopped_at_all_entries"),
    ("crash-told", "service/src/keeper/suspects.rs",
     "self.reply(origin, LeaderReply::Done);\n        self.push_suspects();\n    }\n\n    /// Records that a target answered",
     "self.reply(origin, LeaderReply::Done);\n    }\n\n    /// Records that a target answered",
     "bergamotlane-platform", "a_request_that_crashes_its_targets_is_stopped_at_all_entries"),
    ("kept-crash", "service/src/pool.rs",
     "may_have_arrived = !unsent;", "may_have_arrived &= unsent;",
     "bergamotlane-service", "a_crash_on_a_kept_connection_counts_as_one"),
    ("member-order", "service/src/directory.rs",
     " && members > self.members", "",
     "bergamotlane-service", "the_news_of_a_changed_membership_comes_to_rest"),
    ("link-queue", "service/src/outbox.rs",
     "if before > 0 && before + length > MAX_QUEUED_BYTES {", "if false {",
     "bergamotlane-service", "a_peer_that_reads_nothing_loses_its_link_and_not_our_memory"),
    ("text-build", "service/src/work.rs",
     "if !self.events.is_empty() && !same_build {", "if false && !same_build {",
     "bergamotlane-service", "no_order_of_breaks_joins_two_software_versions"),
    ("stream-first-record", "service/src/streams.rs",
     "if self.streams.contains_key(&stream) {", "if false {",
     "bergamotlane-service", "the_first_record_of_a_stream_stays"),
    ("stream-conflict", "service/src/streams.rs",
     "if record != StreamRecord::Conflict {", "if true {",
     "bergamotlane-service", "a_stream_is_recorded_before_its_answer_leaves"),
    ("take-up-build", "service/src/choice.rs",
     "query.build.is_none_or(|build| it.announcement.runs(build))", "true",
     "bergamotlane-service", "a_take_up_goes_to_the_build_that_began_its_stream_alone"),
    ("take-up-restart", "service/src/forward/attempt.rs",
     "if request.tracks_build()", "if false",
     "bergamotlane-service", "an_answer_of_a_restarted_target_does_not_continue_a_stream"),
    ("daemon-software", "policy/src/targets/choice.rs",
     "request.software.is_some_and(|it| it != target.software)", "false",
     "bergamotlane-policy", "the_choice_weighs_zone_prefix_class_and_version"),
    ("reach-one-target", "service/src/reach.rs",
     "const MIN_UNREACHABLE: usize = 2;", "const MIN_UNREACHABLE: usize = 1;",
     "bergamotlane-service", "the_path_is_lost_once_two_targets_cannot_be_reached"),
    ("reach-regained", "service/src/reach.rs",
     "        self.unreachable.clear();\n        self.is_lost = false;", "        self.is_lost = false;",
     "bergamotlane-service", "a_path_is_lost_only_by_two_targets_since_the_last_answer"),
    ("relay-helper-lost", "service/src/entry.rs",
     "PlainOutcome::NotRun if self.forwarder.reach().is_lost()", "PlainOutcome::NotRun if false",
     "bergamotlane-service", "an_entry_without_a_path_serves_its_callers_through_others"),
    ("relay-bound", "service/src/entry.rs",
     "const MAX_RELAYED: usize = 64;", "const MAX_RELAYED: usize = 640;",
     "bergamotlane-service", "a_helper_takes_a_bounded_number_of_requests"),
    ("relay-cancel", "service/src/relay_links.rs",
     "hub.send(relay.link, &LinkFrame::CancelRelay(id));", "let _ = (hub, id);",
     "bergamotlane-service", "a_relayed_request_ends_when_its_caller_leaves"),
    ("relay-way-back", "service/src/forward.rs",
     "if join_all(probes).await.contains(&true) {", "if join_all(probes).await.is_empty() {",
     "bergamotlane-service", "an_entry_uses_its_own_path_again_once_it_is_back"),
    ("relay-leaving", "service/src/forward.rs",
     "&& let Some(start) = &answer.leaving\n", "&& let Some(start) = &answer.leaving\n                    && false\n",
     "bergamotlane-service", "a_leaving_target_is_known_to_the_entry_that_passed_its_answer_on"),
    ("leaving-mark", "service/src/choice.rs",
     "&& !self.is_leaving(&it.announcement)", "",
     "bergamotlane-service", "a_marked_start_gets_no_request_and_a_later_one_does"),
    ("leaving-later-start", "service/src/leaving.rs",
     "|marked| *marked >= born", "|_| born < u64::MAX",
     "bergamotlane-service", "a_marked_start_gets_no_request_and_a_later_one_does"),
    ("rate-burst", "policy/src/rate.rs",
     "(self.tokens + self.rate.per_s() * elapsed_s).min(capacity)",
     "(self.tokens + self.rate.per_s() * elapsed_s).min(capacity * 1e6)",
     "bergamotlane-policy", "any_window_stays_within_the_limit"),
    ("rate-share", "policy/src/rate.rs",
     "Self(self.0 / u64::from(count.max(1)))", "Self(self.0 / u64::from(count.min(1)).max(1))",
     "bergamotlane-policy", "shares_of_many_processes_stay_within_the_limit"),
    ("quarantine-growth", "policy/src/suspect.rs",
     "const QUARANTINE_FACTOR: u64 = 4;", "const QUARANTINE_FACTOR: u64 = 1;",
     "bergamotlane-policy", "a_request_that_always_crashes_its_target_is_nearly_never_sent"),
    ("quarantine-refusal", "service/src/forward.rs",
     "if let Some(left_ms) = suspect.and_then(|it| self.quarantine_left_ms(it)) {",
     "if let Some(left_ms) = suspect.and_then(|_| None) {",
     "bergamotlane-service",
     "a_request_under_which_targets_crashed_is_refused_at_once_and_others_are_not"),
    ("daemon-crashes-told", "daemon/src/control/asks.rs",
     "        self.shared.suspects.merge(&ask.crashes, &ask.answered);\n", "",
     "bergamotlaned", "a_quarantine_at_one_daemon_holds_at_all_daemons"),
    ("daemon-suspects-told", "daemon/src/control/follower.rs",
     "        self.shared.suspects.replace(&view.suspects);\n", "",
     "bergamotlaned", "a_quarantine_at_one_daemon_holds_at_all_daemons"),
    ("daemon-crash-counts-once", "policy/src/suspect.rs",
     "if !suspect.targets.insert(target) {", "if !suspect.targets.insert(target) && false {",
     "bergamotlaned", "crashes_of_two_instances_quarantine_a_request_at_all"),
    ("permit-place", "service/src/forward/attempt.rs",
     "        if !self.recorded {\n            lock(self.chooser).release_request",
     "        if false {\n            lock(self.chooser).release_request",
     "bergamotlane-service", "a_caller_that_leaves_while_it_waits_for_a_permit_frees_its_place"),
    ("heartbeat-search", "service/src/registry.rs",
     "        if self.owns_address(announcement) {\n            return false;\n        }\n", "",
     "bergamotlane-service", "heartbeats_of_thousands_of_targets_are_taken_in_time"),
]


def run(mutation, copy, target):
    name, file, old, new, package, test = mutation
    path = copy / "crates" / file
    source = path.read_text()
    if source.count(old) != 1:
        return f"{name}: expected the text to replace once in {file}, found it {source.count(old)} times"
    path.write_text(source.replace(old, new))
    command = ["cargo", "test", "--quiet", "-p", package, "--target-dir", target, test]
    if package == "bergamotlaned":
        examples = ["cargo", "build", "--quiet", "--examples", "-p", "bergamotlane-standins",
                    "--target-dir", target]
        subprocess.run(examples, cwd=copy, capture_output=True, check=False)
    done = subprocess.run(command, cwd=copy, capture_output=True, text=True, check=False)
    path.write_text(source)
    output = done.stdout + done.stderr
    if "error: could not compile" in output or "error[" in output:
        return f"{name}: the mutated source does not compile\n{output[-800:]}"
    ran = sum(int(line.split()[3]) + int(line.split()[5]) for line in output.splitlines()
              if line.startswith("test result:"))
    if ran == 0:
        return f"{name}: no test ran for the filter {test}"
    if done.returncode == 0:
        return f"{name}: SURVIVED {test}"
    print(f"{name}: caught by {test}", flush=True)
    return None


def main():
    wanted = sys.argv[1:]
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "copy"
        ignore = shutil.ignore_patterns("target", ".git")
        shutil.copytree(ROOT, copy, ignore=ignore)
        target = str(ROOT / "target" / "mutants")
        faults = []
        for mutation in MUTATIONS:
            if not wanted or mutation[0] in wanted:
                fault = run(mutation, copy, target)
                if fault:
                    print(fault, flush=True)
                    faults.append(fault)
    print(f"{len(faults)} mutations were not caught")
    return 1 if faults else 0


sys.exit(main())
