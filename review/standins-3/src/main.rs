//! Cases of the third review that are scripts. Each starts processes of the program under review,
//! plays its clients, engines and operator, and tells by its exit code whether a rule was broken.

mod cluster;
mod engine;
mod http;
mod json;
mod record;
mod renewal;
mod retire;
mod second_answer;
mod trainer;

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cluster::Cluster;
use engine::start_platform;
use record::Record;

/// What became of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// What a case is played with.
pub struct Stage {
    pub cluster: Cluster,
    pub record: Arc<Record>,
    pub net: String,
    /// Whether the disruption comes.
    pub trouble: bool,
    /// Number that differs from run to run.
    pub luck: u64,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-standins-3 CASE PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::new(Path::new(record)).map(Arc::new) else {
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos() as u64;
    let pid = u64::from(std::process::id());
    let luck = nanos ^ (pid << 40);
    let net = format!("127.{}.{}", 30 + pid % 200, 1 + luck % 250);
    let port = 16_000 + (pid % 1_500) as u16 * 10;
    let Ok(platform) = start_platform(&format!("{net}.200")) else {
        return ExitCode::from(2);
    };
    let program = PathBuf::from(program);
    let cluster = Cluster::new(&program, Path::new(folder), &record, platform, &net, port);
    record.say(format!("case {case}, trouble = {trouble}"));
    let mut stage = Stage {
        cluster,
        record: Arc::clone(&record),
        net,
        trouble,
        luck,
    };
    let verdict = match case.as_str() {
        "second-answer" => second_answer::play(&mut stage),
        "renewal" => renewal::play(&mut stage),
        "retire" => retire::play(&mut stage),
        _ => Verdict::CouldNotRun,
    };
    let code = match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    };
    record.say(format!("exit code {code}"));
    drop(stage);
    ExitCode::from(code)
}
