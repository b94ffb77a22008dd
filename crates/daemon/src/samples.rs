//! Samples that this instance holds until their trainer has acknowledged them, and requests to
//! other instances to store or return samples.

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

/// Time within which another instance must answer a request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a sample is held in any case, in milliseconds: the command that records it
/// may not have been applied by this instance yet.
const MIN_RETENTION_MS: u64 = 60_000;

#[derive(Debug)]
struct HeldSample {
    sample: StoredSample,
    held_at: ClockTime,
}

#[derive(Debug, Default)]
struct StoreState {
    /// Samples held, by the run and number of the attempt that produced them.
    held: HashMap<(u64, u64), HeldSample>,
    /// Unanswered requests to store a sample, by nonce.
    pending_stores: HashMap<u64, oneshot::Sender<()>>,
    /// Unanswered requests for the content of a sample, by nonce.
    pending_fetches: HashMap<u64, oneshot::Sender<Option<ByteBuf>>>,
}

/// Samples that this instance holds in memory, and its requests to other holders.
pub struct SampleStore {
    state: Mutex<StoreState>,
    next_nonce: AtomicU64,
    hub: Arc<ControlHub>,
}

impl SampleStore {
    /// Creates an empty store that reaches other instances through `hub`.
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

    /// Returns the nonce of a new request, by which its answer is matched.
    fn next_nonce(&self) -> u64 {
        self.next_nonce.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the number of samples that this instance holds.
    pub fn len(&self) -> usize {
        self.state().held.len()
    }

    /// Stores a sample, by the attempt that produced it.
    pub fn insert(&self, sample: StoredSample) {
        let key = (sample.attempt.run, sample.attempt.number);
        let held_at = now();
        self.state()
            .held
            .insert(key, HeldSample { sample, held_at });
    }

    /// Drops the samples for which `needed` returns false, except those stored within the last
    /// [`MIN_RETENTION_MS`].
    pub fn retain(&self, needed: impl Fn(&StoredSample) -> bool) {
        let time = now();
        self.state()
            .held
            .retain(|_, held| time.since(held.held_at) < MIN_RETENTION_MS || needed(&held.sample));
    }

    /// Returns the content of a sample, if this instance holds it.
    pub fn get(&self, attempt: &AttemptIdWire) -> Option<ByteBuf> {
        let state = self.state();
        let held = state.held.get(&(attempt.run, attempt.number));
        held.map(|held| held.sample.body.clone())
    }

    /// Completes the [`Self::copy_to`] with this nonce: the other instance stored the sample.
    pub fn complete_store(&self, nonce: u64) {
        if let Some(reply) = self.state().pending_stores.remove(&nonce) {
            answer(reply, ());
        }
    }

    /// Passes another instance's answer to the [`Self::fetch`] that waits for this nonce; a
    /// `body` of `None` means that it doesn't hold the sample.
    pub fn complete_fetch(&self, nonce: u64, body: Option<ByteBuf>) {
        if let Some(reply) = self.state().pending_fetches.remove(&nonce) {
            answer(reply, body);
        }
    }

    /// Sends a copy of a sample to another instance; returns whether that instance confirmed in
    /// time that it stored it.
    pub async fn copy_to(&self, run: RunId, sample: StoredSample) -> bool {
        let nonce = self.next_nonce();
        let (reply, answer) = oneshot::channel();
        self.state().pending_stores.insert(nonce, reply);
        let sent = self.hub.send(run, PeerFrame::StoreSample { nonce, sample });
        let stored = sent && matches!(timeout(REPLY_TIMEOUT, answer).await, Ok(Ok(())));
        self.state().pending_stores.remove(&nonce);
        stored
    }

    /// Returns the content of a sample from this instance or from one of its `holders`; only
    /// the holders in `live` are asked.
    ///
    /// # Errors
    ///
    /// Returns [`FetchFailure::Lost`] if each holder is gone for good or answered that it doesn't
    /// hold the sample, and [`FetchFailure::Unreachable`] if one didn't answer.
    pub async fn fetch(
        &self,
        live: &BTreeSet<RunId>,
        holders: &[RunId],
        attempt: AttemptIdWire,
    ) -> Result<Bytes, FetchFailure> {
        if let Some(body) = self.get(&attempt) {
            return Ok(Bytes::from(body.into_vec()));
        }
        let mut all_answered = true;
        // A run that has ended never comes back, and the samples in its memory are lost with it.
        // A run that is merely partitioned may come back, but by then the attempt has been
        // dropped.
        for holder in holders.iter().filter(|holder| live.contains(holder)) {
            let nonce = self.next_nonce();
            let (reply, answer) = oneshot::channel();
            self.state().pending_fetches.insert(nonce, reply);
            let frame = PeerFrame::GetSample {
                nonce,
                attempt: attempt.clone(),
            };
            let answer = match self.hub.send(*holder, frame) {
                true => timeout(REPLY_TIMEOUT, answer).await.ok(),
                false => None,
            };
            self.state().pending_fetches.remove(&nonce);
            match answer {
                Some(Ok(Some(body))) => return Ok(Bytes::from(body.into_vec())),
                Some(Ok(None)) => {}
                _ => all_answered = false,
            }
        }
        Err(match all_answered {
            true => FetchFailure::Lost,
            false => FetchFailure::Unreachable,
        })
    }
}

/// Why the content of a sample couldn't be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchFailure {
    /// No instance holds the sample any more; it must be generated again.
    Lost,
    /// A holder didn't answer in time; a later request may succeed.
    Unreachable,
}
