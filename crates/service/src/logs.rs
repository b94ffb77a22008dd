//! Structured log lines on standard output, written by a separate thread.
//!
//! If the reader of the output stalls, lines are dropped and callers are never blocked.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use spdlog::ErrorHandler;
use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::SinkPropAccess;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

/// Largest number of lines that wait to be written.
const QUEUE_LINES: usize = 2_048;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped so far because the queue was full.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Installs the default logger of the process, at level debug if `verbose`, else at level info.
///
/// # Errors
///
/// Returns an error if the sink or its thread can't be created.
pub fn start_logs(verbose: bool) -> spdlog::Result<()> {
    let stream = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .build()?;
    stream.set_formatter(Box::new(JsonFormatter::new()));
    let pool = ThreadPool::builder()
        .capacity(std::num::NonZeroUsize::new(QUEUE_LINES).unwrap_or(std::num::NonZeroUsize::MIN))
        .build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(stream))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(pool)
        .error_handler(ErrorHandler::new(|_| {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }))
        .build_arc()?;
    let level = if verbose { Level::Debug } else { Level::Info };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .error_handler(ErrorHandler::new(|_| {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }))
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}
