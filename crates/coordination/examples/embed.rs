//! Runs a consensus group of three nodes in one process, replicates a command and prints
//! the remaining lease of the leader.
//!
//! A real service sends the messages over its own connections, and stores each output for
//! which `is_durable` returns `true` before it acts on the next one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use bytes::Bytes;

use bergamotlane_coordination::clock::Clock;
use bergamotlane_coordination::clock::ManualClock;
use bergamotlane_coordination::consensus::ConsensusConfig;
use bergamotlane_coordination::consensus::ConsensusMessage;
use bergamotlane_coordination::consensus::ConsensusNode;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::EntryBody;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::MemberRecord;
use bergamotlane_coordination::consensus::NodeStart;
use bergamotlane_coordination::consensus::ReplicatedLog;
use bergamotlane_coordination::consensus::SnapshotData;
use bergamotlane_coordination::consensus::VoteRecord;
use bergamotlane_coordination::ident::NodeId;

/// Message with its sender and receiver.
struct Envelope {
    from: NodeId,
    to: NodeId,
    message: ConsensusMessage,
}

/// Executes the outputs of a node. Storage is in memory here, so every append is durable at
/// once.
fn execute_outputs(
    node: &mut ConsensusNode,
    clock: &ManualClock,
    outputs: Vec<ConsensusOutput>,
    outbox: &mut VecDeque<Envelope>,
) {
    let mut outputs = VecDeque::from(outputs);
    while let Some(output) = outputs.pop_front() {
        match output {
            ConsensusOutput::Send { to, message } => outbox.push_back(Envelope {
                from: node.id(),
                to,
                message,
            }),
            ConsensusOutput::AppendEntries(_) => {
                let mut more = Vec::new();
                let last = node.log().last_index();
                node.mark_synced(clock.now(), last, &mut more);
                outputs.extend(more);
            }
            ConsensusOutput::Apply(entry) => {
                if let EntryBody::Command(command) = entry.body {
                    println!(
                        "node {} applies {command:?} at index {}",
                        node.id(),
                        entry.index
                    );
                }
            }
            _ => {}
        }
    }
}

fn main() {
    let clock = ManualClock::default();
    let record = |id: u64| MemberRecord {
        name: format!("node{id}"),
        address: String::new(),
        zone: format!("zone{id}"),
    };
    let membership = GroupMembership {
        voters: (1..=3).map(|id| (NodeId(id), record(id))).collect(),
        learners: BTreeMap::new(),
        barred: BTreeSet::new(),
    };
    let snapshot = LogSnapshot {
        index: 1,
        term: 1,
        membership,
        data: SnapshotData::default(),
    };
    let mut nodes: BTreeMap<NodeId, ConsensusNode> = (1..=3)
        .map(|id| {
            let start = NodeStart {
                node: NodeId(id),
                vote: VoteRecord::default(),
                log: ReplicatedLog::new(snapshot.clone(), Vec::new()),
                applied: 0,
                seed: 7,
            };
            let node = ConsensusNode::new(clock.now(), ConsensusConfig::default(), start);
            (NodeId(id), node)
        })
        .collect();
    let mut outbox = VecDeque::new();
    let mut proposed = false;
    for _ in 0..300 {
        clock.advance(10);
        for node in nodes.values_mut() {
            let mut outputs = Vec::new();
            node.tick(clock.now(), &mut outputs);
            if !proposed && node.confirmed_commit(clock.now()).is_some() {
                let command = Bytes::from_static(b"hello");
                let index = node.propose(clock.now(), command, &mut outputs);
                println!("node {} leads and proposes a command: {index:?}", node.id());
                proposed = true;
            }
            execute_outputs(node, &clock, outputs, &mut outbox);
        }
        while let Some(envelope) = outbox.pop_front() {
            if let Some(node) = nodes.get_mut(&envelope.to) {
                let mut outputs = Vec::new();
                node.receive(clock.now(), envelope.from, envelope.message, &mut outputs);
                execute_outputs(node, &clock, outputs, &mut outbox);
            }
        }
    }
    for node in nodes.values() {
        if let Some(until) = node.lease_until(clock.now()) {
            let left_ms = until.since(clock.now());
            println!(
                "node {} holds the lease for another {left_ms} ms",
                node.id()
            );
        }
    }
}
