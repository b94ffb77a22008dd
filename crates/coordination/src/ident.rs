//! IDs of data folders and of process runs.

use std::fmt;

/// ID of one data folder, shown as 16 hexadecimal digits.
///
/// A machine that lost its data folder gets a new ID, since its consensus votes and log
/// are lost too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// ID of one run of a process, shown as 16 hexadecimal digits.
///
/// Every start of a process gets a new ID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
