//! End of the leader's lease, shared with the tasks that send its orders.

use std::future::Future;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use tokio::time::interval;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;

/// Interval between two checks of the lease while an exchange waits.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Handle on the end of the lease, by a clock that counts the time of a freeze.
#[derive(Debug, Clone, Default)]
pub struct LeaseWatch(Arc<AtomicU64>);

impl LeaseWatch {
    /// Sets the end of the lease.
    pub fn set(&self, until: ClockTime) {
        self.0.store(until.0, Ordering::Relaxed);
    }

    /// Returns whether the lease is still valid `millis` milliseconds from now.
    pub fn covers(&self, millis: u64) -> bool {
        now().0 + millis < self.0.load(Ordering::Relaxed)
    }

    /// Runs an exchange for as long as the lease is valid. Once it is not, the exchange is dropped
    /// without another step, so that it writes nothing after a freeze, and `None` is returned.
    pub async fn guard<F: Future>(&self, exchange: F) -> Option<F::Output> {
        let mut exchange = pin!(exchange);
        let mut check = interval(CHECK_INTERVAL);
        poll_fn(|context| {
            if !self.covers(0) {
                return Poll::Ready(None);
            }
            while check.poll_tick(context).is_ready() {}
            exchange.as_mut().poll(context).map(Some)
        })
        .await
    }
}
