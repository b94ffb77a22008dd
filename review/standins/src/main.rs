//! Stand-ins and scripts of the review.
//!
//! `review-standins engine NAME=VALUE...` runs an engine. `review-standins case NAME FOLDER` plays a
//! case and writes `record.txt` into the folder; it exits with 1 if the rule was broken, with 0 if it
//! held, and with 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod cluster;
mod engine;
mod http;
mod jobs;
mod json;

use std::env;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::path::PathBuf;
use std::process::exit;
use std::time::SystemTime;

use crate::cluster::Record;

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |it| it.as_millis() as u64)
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("engine") => engine::run(&arguments[1..]),
        Some("case") if arguments.len() == 3 => {
            let folder = PathBuf::from(&arguments[2]);
            let record = Record::new(&folder.join("record.txt"));
            let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
            record.note(&format!("case {}, trouble {has_trouble}", arguments[1]));
            cluster::limit_time(&record);
            let play = || cases::play(&arguments[1], &record, has_trouble);
            let is_broken = catch_unwind(AssertUnwindSafe(play));
            let (code, verdict) = match is_broken {
                Ok(true) => (1, "the rule was broken"),
                Ok(false) => (0, "the rule held"),
                Err(_) => (2, "the case could not run"),
            };
            record.note(&format!("verdict: {verdict}"));
            println!("{}: {verdict}", arguments[1]);
            exit(code);
        }
        _ => {
            eprintln!("usage: review-standins engine NAME=VALUE... | case NAME FOLDER");
            exit(2);
        }
    }
}
