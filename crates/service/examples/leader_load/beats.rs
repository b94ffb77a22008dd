//! Heartbeats of the simulated targets.

use crate::BATCH_MS;
use crate::FOLLOWERS;
use crate::HEARTBEAT_MS;
use crate::TICK_MS;
use crate::model::LoadModel;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::frames::LeaderCall;
use bergamotlane_service::frames::LeaderReply;
use bergamotlane_service::frames::LinkFrame;
use bergamotlane_service::heartbeats::HeartbeatBatch;
use bergamotlane_service::heartbeats::TargetBeat;
use bergamotlane_wire::codec;

impl LoadModel {
    /// Sends the heartbeats that are due as calls.
    pub fn send_calls(&mut self, time: ClockTime) {
        let count = self.targets.len() as u64;
        let slots = HEARTBEAT_MS / TICK_MS;
        let slot = time.0 / TICK_MS % slots;
        let (first, last) = (slot * count / slots, (slot + 1) * count / slots);
        let (registry, targets) = (&mut self.registry, &mut self.targets);
        for target in &mut targets[first as usize..last as usize] {
            target.sequence += 1;
            let call = LeaderCall::Announce(target.clone());
            let frame = codec::encode(&LinkFrame::Call { id: 1, call });
            self.times.measure("heartbeats", || {
                if let Ok(LinkFrame::Call {
                    call: LeaderCall::Announce(announcement),
                    ..
                }) = codec::decode(&frame)
                {
                    registry.announce(time, announcement);
                }
                let reply = LeaderReply::Announced(Some(target.address));
                codec::encode(&LinkFrame::Reply { id: 1, reply })
            });
        }
    }

    /// Sends the batch of each follower, with the sixth of its targets whose heartbeats are due.
    pub fn send_batches(&mut self, time: ClockTime) {
        if !time.0.is_multiple_of(BATCH_MS) {
            return;
        }
        let sixth = (time.0 / BATCH_MS % (HEARTBEAT_MS / BATCH_MS)) as usize;
        for follower in 0..FOLLOWERS {
            let mut batch = HeartbeatBatch::default();
            for (number, target) in self.targets.iter_mut().enumerate() {
                if number % FOLLOWERS == follower && number / FOLLOWERS % 6 == sixth {
                    target.sequence += 1;
                    batch.beats.push(TargetBeat {
                        id: target.id.clone(),
                        born: target.born,
                        sequence: target.sequence,
                        age_ms: 100,
                    });
                }
            }
            let frame = codec::encode(&LinkFrame::Heartbeats(batch));
            let registry = &mut self.registry;
            self.times.measure("heartbeats", || {
                if let Ok(LinkFrame::Heartbeats(batch)) = codec::decode(&frame) {
                    registry.record_report(time, follower as u64);
                    for beat in &batch.beats {
                        registry.beat(time, beat, follower as u64);
                    }
                }
            });
        }
    }
}
