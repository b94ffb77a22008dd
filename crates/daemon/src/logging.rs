//! Logging to standard error; messages have the form `subject: what happened`.

use std::sync::Arc;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::SinkPropAccess;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

use crate::settings::LogFormat;
use crate::settings::LogLevel;

/// Installs the default logger of the process; each line is flushed at once.
///
/// # Errors
///
/// Returns an error if the sink or the logger can't be built.
pub fn start_logging(format: LogFormat, level: LogLevel) -> spdlog::Result<()> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .build()?;
    match format {
        LogFormat::Text => {
            let pattern = pattern!("{datetime} {level} {payload}{eol}");
            sink.set_formatter(Box::new(PatternFormatter::new(pattern)));
        }
        LogFormat::Json => sink.set_formatter(Box::new(JsonFormatter::new())),
    }
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}
