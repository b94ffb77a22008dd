//! Samples held by this instance until their trainer has acknowledged them.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use serde_bytes::ByteBuf;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clock::now;
use crate::control::ControlHub;
use crate::control::answer;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_wire::AttemptIdWire;
use bergamotlane_wire::peer::PeerFrame;
use bergamotlane_wire::peer::StoredSample;

/// Time for another instance to answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);

/// Time for which a sample is held even if this instance's state doesn't know it yet, in
/// milliseconds.
const YOUNG_MS: u64 = 60_000;

#[derive(Debug)]
struct HeldSample {
    sample: StoredSample,
    held_at: ClockTime,
}

#[derive(Debug, Default)]
struct StoreState {
    held: HashMap<(u64, u64), HeldSample>,
    storing: HashMap<u64, oneshot::Sender<()>>,
    getting: HashMap<u64, oneshot::Sender<Option<ByteBuf>>>,
}

/// Samples held here, and questions to other instances about theirs.
pub struct SampleStore {
    state: Mutex<StoreState>,
    next_nonce: AtomicU64,
    hub: Arc<ControlHub>,
}

impl SampleStore {
    /// Creates an empty store.
    pub fn new(hub: Arc<ControlHub>) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            next_nonce: AtomicU64::new(1),
            hub,
        })
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn nonce(&self) -> u64 {
        self.next_nonce.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the number of samples held.
    pub fn len(&self) -> usize {
        self.state().held.len()
    }

    /// Holds a sample.
    pub fn insert(&self, sample: StoredSample) {
        let key = (sample.attempt.run, sample.attempt.number);
        let held_at = now();
        self.state()
            .held
            .insert(key, HeldSample { sample, held_at });
    }

    /// Drops old samples for which `needed` says no.
    pub fn retain(&self, needed: impl Fn(&StoredSample) -> bool) {
        let time = now();
        self.state()
            .held
            .retain(|_, it| time.since(it.held_at) < YOUNG_MS || needed(&it.sample));
    }

    /// Returns the content of a sample held here.
    pub fn get(&self, attempt: &AttemptIdWire) -> Option<ByteBuf> {
        let state = self.state();
        let held = state.held.get(&(attempt.run, attempt.number));
        held.map(|it| it.sample.body.clone())
    }

    /// Takes note that another instance holds a copy.
    pub fn complete_store(&self, nonce: u64) {
        if let Some(reply) = self.state().storing.remove(&nonce) {
            answer(reply, ());
        }
    }

    /// Takes another instance's answer.
    pub fn complete_fetch(&self, nonce: u64, body: Option<ByteBuf>) {
        if let Some(reply) = self.state().getting.remove(&nonce) {
            answer(reply, body);
        }
    }

    /// Has another instance hold a copy; returns whether it confirmed that.
    pub async fn copy_to(&self, run: RunId, sample: StoredSample) -> bool {
        let nonce = self.nonce();
        let (reply, answer) = oneshot::channel();
        self.state().storing.insert(nonce, reply);
        let sent = self.hub.send(run, PeerFrame::StoreSample { nonce, sample });
        let stored = sent && matches!(timeout(ANSWER_LIMIT, answer).await, Ok(Ok(())));
        self.state().storing.remove(&nonce);
        stored
    }

    /// Returns the content of a sample from one of its holders, of which `live` are there.
    ///
    /// # Errors
    ///
    /// Returns whether the sample is lost: each holder is gone for good, or answered that
    /// it doesn't have it.
    pub async fn find(
        &self,
        live: &BTreeSet<RunId>,
        holders: &[RunId],
        attempt: AttemptIdWire,
    ) -> Result<Bytes, SampleMissing> {
        if let Some(body) = self.get(&attempt) {
            return Ok(Bytes::from(body.into_vec()));
        }
        let mut all_answered = true;
        // A run that has ended never comes back, and with it what it held. One that is only
        // cut off may come back, but its attempt will have been dropped by then.
        for holder in holders.iter().filter(|it| live.contains(it)) {
            let nonce = self.nonce();
            let (reply, answer) = oneshot::channel();
            self.state().getting.insert(nonce, reply);
            let frame = PeerFrame::GetSample {
                nonce,
                attempt: attempt.clone(),
            };
            let answer = match self.hub.send(*holder, frame) {
                true => timeout(ANSWER_LIMIT, answer).await.ok(),
                false => None,
            };
            self.state().getting.remove(&nonce);
            match answer {
                Some(Ok(Some(body))) => return Ok(Bytes::from(body.into_vec())),
                Some(Ok(None)) => {}
                _ => all_answered = false,
            }
        }
        Err(match all_answered {
            true => SampleMissing::Lost,
            false => SampleMissing::Unreachable,
        })
    }
}

/// Why a sample's content is not to be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampleMissing {
    /// No holder has it any more.
    Lost,
    /// A holder didn't answer.
    Unreachable,
}
