//! Software that targets run.

use serde::Deserialize;
use serde::Serialize;

/// Version of a service's software. Targets of one service may run different builds at the same
/// time; a stream that one build began must not continue at another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareBuild {
    /// Name of the service.
    pub service: String,
    /// Version of the software, as its targets announce it.
    pub version: String,
}
