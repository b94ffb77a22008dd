//! Reads of bodies and texts that the state refers to.

use bytes::Bytes;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::payload::PayloadRef;
use crate::payload_reads::read_payloads;

impl<D: TargetDialect> KeeperCore<D> {
    /// Returns payloads in their order, `None` for those that the log doesn't have. If the log can't
    /// be read, this keeper stops to vote and lead, and the method returns `None`.
    pub(super) fn read_payloads(&mut self, payloads: &[PayloadRef]) -> Option<Vec<Option<Bytes>>> {
        let read = read_payloads(payloads, |index, range| match &self.voter {
            Some(voter) => voter.read_command(index, range),
            None => Ok(None),
        });
        let found = match read {
            Ok(found) => found,
            Err(error) => {
                self.handle_storage_failure(&error);
                return None;
            }
        };
        for (payload, bytes) in payloads.iter().zip(&found) {
            if let PayloadRef::Entry { index, start, .. } = *payload
                && bytes.is_none()
            {
                spdlog::error!("storage: payload not in the log", kv: { index, start });
            }
        }
        Some(found)
    }

    /// Returns a payload, or `None` if it is missing or can't be read.
    pub(super) fn read_payload(&mut self, payload: &PayloadRef) -> Option<Bytes> {
        let found = self.read_payloads(std::slice::from_ref(payload))?;
        found.into_iter().next().flatten()
    }
}
