//! Log replication: appends, their answers, snapshots and the commit index.

use std::ops::RangeInclusive;

use super::election::LogEnd;
use super::log::LogEntry;
use super::log::LogSnapshot;
use super::log::ReplicatedLog;
use super::message::ConsensusMessage;
use super::message::EntryBody;
use super::node::ConsensusNode;
use super::output::ConsensusOutput;
use super::role::RoleEvent;
use crate::clock::ClockTime;
use crate::ident::NodeId;

/// Maximum number of entries in one message.
const APPEND_BATCH_ENTRIES: usize = 256;

/// Limit on the size of the commands in a message, in bytes. Once it is reached, no further
/// entry is added, so the last entry may exceed it.
const APPEND_BATCH_BYTES: usize = 1024 * 1024;

/// Memory of an entry at the peer that it was sent to, beside its command, in bytes: in the message, in
/// the log and in the list of entries to be written.
const SENT_ENTRY_BYTES: usize = 4 * size_of::<LogEntry>();

/// Limit on the memory of the entries sent to a peer but not yet answered, in bytes. Once it is
/// reached, the peer is sent only heartbeats.
pub(super) const MAX_UNANSWERED_BYTES: usize = 4 * 1024 * 1024;

/// Time without an answer after which a peer is sent a snapshot again, in milliseconds.
const SNAPSHOT_RETRY_MS: u64 = 2_000;

/// Returns whether the entries in `indexes` take less than `limit` bytes in total.
fn is_smaller(log: &ReplicatedLog, mut indexes: RangeInclusive<u64>, limit: usize) -> bool {
    let mut bytes = 0;
    indexes.all(|index| {
        bytes += SENT_ENTRY_BYTES + log.command_bytes(index);
        bytes < limit
    })
}

/// Returns the entries from `index` on that fit into one message, at least one if there is any.
fn take_batch(log: &ReplicatedLog, index: u64) -> Vec<LogEntry> {
    let mut bytes = 0;
    let fits = |entry: &LogEntry| {
        let before = bytes;
        bytes += log.command_bytes(entry.index);
        before < APPEND_BATCH_BYTES
    };
    let entries = log.entries_from(index).take(APPEND_BATCH_ENTRIES);
    entries.take_while(fits).collect()
}

/// Replication progress of a peer, as known to the leader.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerProgress {
    /// Index of the next entry to send.
    pub(super) next: u64,
    /// Index up to which the peer's durable log is known to match.
    pub(super) matched: u64,
    /// When the last snapshot was sent, until the peer has answered it.
    snapshot_sent_at: Option<ClockTime>,
}

impl ConsensusNode {
    /// Appends an entry of the current term, sends it to the peers and returns its index.
    pub(super) fn append_as_leader(
        &mut self,
        now: ClockTime,
        body: EntryBody,
        out: &mut Vec<ConsensusOutput>,
    ) -> u64 {
        let entry = LogEntry {
            index: self.log.last_index() + 1,
            term: self.vote.term,
            body,
        };
        let index = entry.index;
        self.log.append(vec![entry.clone()]);
        out.push(ConsensusOutput::AppendEntries(vec![entry]));
        self.send_appends(now, out);
        index
    }

    /// Starts a heartbeat round, and sends every peer the entries that it lacks.
    pub(super) fn broadcast(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        self.rounds.start(now);
        self.heartbeat_due = now + self.config.heartbeat_ms;
        self.send_to_members(now, true, out);
    }

    /// Sends new entries to the peers within the current heartbeat round.
    fn send_appends(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        if self.rounds.current() == 0 {
            self.rounds.start(now);
        }
        self.send_to_members(now, false, out);
    }

    /// Sends every peer the entries that it lacks.
    ///
    /// A peer that lacks none gets an empty append if `send_empty` is set.
    fn send_to_members(
        &mut self,
        now: ClockTime,
        send_empty: bool,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let membership = self.membership().clone();
        self.progress.retain(|node, _| membership.contains(*node));
        for (node, _) in membership.members() {
            if node != self.node {
                self.send_append(now, node, send_empty, out);
            }
        }
    }

    /// Sends one peer the snapshot that the log begins after, since the entries that it lacks were
    /// compacted. While an earlier one is unanswered, an empty append serves as the heartbeat.
    fn send_snapshot(
        &mut self,
        now: ClockTime,
        to: NodeId,
        send_empty: bool,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let snapshot = self.log.snapshot();
        let (term, round) = (self.vote.term, self.rounds.current());
        let (prev_index, prev_term) = (snapshot.index, snapshot.term);
        let sent_at = self
            .progress
            .get_mut(&to)
            .map(|progress| &mut progress.snapshot_sent_at);
        let Some(sent_at) = sent_at else {
            return;
        };
        if sent_at.is_none_or(|time| now.since(time) >= SNAPSHOT_RETRY_MS) {
            *sent_at = Some(now);
            let message = ConsensusMessage::Snapshot {
                term,
                snapshot: snapshot.clone(),
                round,
            };
            out.push(ConsensusOutput::Send { to, message });
        } else if send_empty {
            let message = ConsensusMessage::Append {
                term,
                prev_index,
                prev_term,
                entries: Vec::new(),
                commit: self.commit,
                round,
            };
            out.push(ConsensusOutput::Send { to, message });
        }
    }

    /// Sends one peer the entries that it lacks, or a snapshot if they were compacted.
    fn send_append(
        &mut self,
        now: ClockTime,
        to: NodeId,
        send_empty: bool,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let initial = PeerProgress {
            next: self.log.last_index().max(1),
            matched: 0,
            snapshot_sent_at: None,
        };
        let round = self.rounds.current();
        let progress = self.progress.entry(to).or_insert(initial);
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.send_snapshot(now, to, send_empty, out);
            return;
        };
        let unanswered = progress.matched.max(self.log.snapshot().index) + 1..=prev_index;
        let entries = match is_smaller(&self.log, unanswered, MAX_UNANSWERED_BYTES) {
            true => take_batch(&self.log, progress.next),
            false => Vec::new(),
        };
        if entries.is_empty() && !send_empty {
            return;
        }
        progress.next += entries.len() as u64;
        let message = ConsensusMessage::Append {
            term: self.vote.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round,
        };
        out.push(ConsensusOutput::Send { to, message });
    }

    /// Follows `from` as the leader of `term`.
    ///
    /// Returns `false`, and rejects the message, if `term` has been superseded.
    pub(super) fn follow_leader(
        &mut self,
        now: ClockTime,
        from: NodeId,
        term: u64,
        round: u64,
        out: &mut Vec<ConsensusOutput>,
    ) -> bool {
        if term < self.vote.term {
            out.push(ConsensusOutput::Send {
                to: from,
                message: ConsensusMessage::AppendReply {
                    term: self.vote.term,
                    matched: None,
                    prev_index: 0,
                    hint: 0,
                    round,
                },
            });
            return false;
        }
        if term > self.vote.term {
            self.enter_term(now, term, out);
        }
        self.change_role(RoleEvent::LeaderSeen, out);
        self.leader = Some(from);
        self.votes_withheld_until = now + self.config.lease_ms;
        self.reset_election(now);
        true
    }

    /// Appends the leader's entries if they connect to this node's log.
    pub(super) fn on_append(
        &mut self,
        from: NodeId,
        prev: LogEnd,
        entries: Vec<LogEntry>,
        commit: u64,
        round: u64,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let (prev_term, prev_index) = prev;
        let start = self.log.snapshot().index;
        let known = prev_index < start || self.log.term_at(prev_index) == Some(prev_term);
        if !known {
            let hint = match prev_index > self.log.last_index() {
                true => self.log.last_index() + 1,
                false => self.commit + 1,
            };
            let reply = ConsensusMessage::AppendReply {
                term: self.vote.term,
                matched: None,
                prev_index,
                hint,
                round,
            };
            out.push(ConsensusOutput::Send {
                to: from,
                message: reply,
            });
            return;
        }
        let last_sent = prev_index + entries.len() as u64;
        let new: Vec<LogEntry> = entries
            .into_iter()
            .skip_while(|entry| {
                entry.index <= start || self.log.term_at(entry.index) == Some(entry.term)
            })
            .collect();
        if !new.is_empty() {
            self.synced = self.synced.min(new[0].index - 1);
            self.log.append(new.clone());
            out.push(ConsensusOutput::AppendEntries(new));
        }
        let matched = last_sent.max(start);
        out.push(ConsensusOutput::Send {
            to: from,
            message: ConsensusMessage::AppendReply {
                term: self.vote.term,
                matched: Some(matched),
                prev_index,
                hint: 0,
                round,
            },
        });
        self.commit = self.commit.max(commit.min(matched));
        self.apply_committed(out);
    }

    /// Records that the leader has committed entries up to `commit`.
    pub(super) fn note_commit(&mut self, now: ClockTime, commit: u64) {
        if self.applied >= commit {
            self.caught_up_at = Some(now);
        }
    }

    /// Installs the leader's snapshot, unless this node has committed as much already.
    pub(super) fn on_snapshot(
        &mut self,
        from: NodeId,
        snapshot: LogSnapshot,
        round: u64,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let index = snapshot.index;
        if index > self.commit {
            self.log.install(snapshot.clone());
            self.commit = index;
            self.applied = index;
            self.synced = self.synced.max(index).min(self.log.last_index());
            out.push(ConsensusOutput::SaveSnapshot(snapshot.clone()));
            out.push(ConsensusOutput::Restore(snapshot));
        }
        out.push(ConsensusOutput::Send {
            to: from,
            message: ConsensusMessage::AppendReply {
                term: self.vote.term,
                matched: Some(index),
                prev_index: index,
                hint: 0,
                round,
            },
        });
    }

    /// Updates the progress of a peer, and sends the entries that it lacks.
    pub(super) fn on_append_reply(
        &mut self,
        now: ClockTime,
        from: NodeId,
        matched: Option<u64>,
        prev_index: u64,
        hint: u64,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        match matched {
            Some(index) => {
                progress.matched = progress.matched.max(index);
                progress.next = progress.next.max(progress.matched + 1);
                if index >= self.log.snapshot().index {
                    progress.snapshot_sent_at = None;
                }
                self.advance_commit(now, out);
            }
            // A rejection of entries that have matched since then arrived late.
            None if prev_index > progress.matched => {
                progress.next = hint.max(progress.matched + 1);
            }
            None => return,
        }
        self.send_append(now, from, false, out);
    }

    /// Commits the entries that a quorum has made durable.
    ///
    /// Entries of earlier terms are committed only together with a later one of the current
    /// term, since another leader might still replace them.
    pub(super) fn advance_commit(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        let membership = self.membership();
        let mut matched: Vec<u64> = membership
            .voters
            .keys()
            .map(|node| self.matched(*node).unwrap_or_default())
            .collect();
        matched.sort_unstable_by(|left, right| right.cmp(left));
        let Some(index) = matched.get(membership.quorum() - 1).copied() else {
            return;
        };
        let own_term = self.log.term_at(index) == Some(self.vote.term);
        if index <= self.commit || !own_term {
            return;
        }
        self.commit = index;
        self.apply_committed(out);
        self.broadcast(now, out);
    }
}
