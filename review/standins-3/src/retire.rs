//! A store machine is retired and taken away as soon as the system says that it is empty; right after that
//! confirmation one store machine loses its disk while the others lose power.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::Stage;
use crate::Verdict;
use crate::trainer::config;

/// Time within which the desired state must be readable once all machines are back: more than
/// `recover-s` and `contact-ms`.
const RECOVERY: Duration = Duration::from_secs(25);

pub fn play(stage: &mut Stage) -> Verdict {
    let record = Arc::clone(&stage.record);
    stage.cluster.start(1);
    let limit = Duration::from_secs(15);
    if stage
        .cluster
        .operate("PUT", "/-/config", &config(1), limit)
        .is_none()
    {
        return Verdict::CouldNotRun;
    }
    let spare = stage.cluster.add("store-4", 4, true, false);
    sleep(Duration::from_secs(6));
    if stage
        .cluster
        .operate("PUT", "/-/config", &config(2), limit)
        .is_none()
    {
        return Verdict::CouldNotRun;
    }
    // A machine that doesn't lead is retired.
    let Some(leader) = stage.cluster.leader() else {
        return Verdict::CouldNotRun;
    };
    let retired = (0..3).find(|it| *it != leader).unwrap_or(0);
    let other = (0..3)
        .find(|it| *it != leader && *it != retired)
        .unwrap_or(0);
    let name = stage.cluster.machines[retired].name.clone();
    let path = format!("/-/retire/{name}");
    record.say(format!("leader is {}", stage.cluster.machines[leader].name));
    let before = stage.cluster.log(leader).matches("members changed").count();
    if stage
        .cluster
        .operate_at(leader, "POST", &path, "{\"duration-s\":10}")
        .is_none()
    {
        return Verdict::CouldNotRun;
    }
    if stage.trouble {
        // The others lose power once the group has grown to four.
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            let log = stage.cluster.log(leader);
            let grown = log
                .lines()
                .filter(|it| it.contains("members changed"))
                .skip(before);
            let has_four = grown.into_iter().any(|it| {
                let voters = it.split("\"voters\":\"").nth(1).unwrap_or_default();
                voters
                    .split('"')
                    .next()
                    .unwrap_or_default()
                    .split(',')
                    .count()
                    == 4
            });
            if has_four {
                break;
            }
            if Instant::now() > end {
                return Verdict::CouldNotRun;
            }
            sleep(Duration::from_millis(2));
        }
        stage.cluster.signal("KILL", &[other, spare]);
    }
    // The platform asks until the state is completed, and takes the machine away then. A leader that has
    // lost the others can't answer for longer than its lease.
    let limit = match stage.trouble {
        true => Duration::from_secs(2),
        false => Duration::from_secs(10),
    };
    let end = Instant::now() + limit;
    let mut is_completed = false;
    while Instant::now() < end && !is_completed {
        let answer = stage.cluster.operate_at(leader, "GET", &path, "");
        let answer = answer.filter(|it| it.status() == 200);
        is_completed = answer.is_some_and(|it| it.text().contains("completed"));
        if !is_completed {
            sleep(Duration::from_millis(50));
        }
    }
    if is_completed {
        stage.cluster.signal("KILL", &[retired]);
        stage.cluster.wipe(retired);
    }
    if !stage.trouble {
        stage.cluster.signal("KILL", &[other, spare]);
    }
    stage.cluster.signal("KILL", &[leader]);
    stage.cluster.wipe(leader);
    sleep(Duration::from_millis(1_000));
    for index in [leader, other, spare] {
        stage.cluster.run(index, false);
    }
    let end = Instant::now() + RECOVERY;
    while Instant::now() < end {
        for index in [leader, other, spare] {
            let answer = stage.cluster.operate_at(index, "GET", "/-/config", "");
            let Some(answer) = answer.filter(|it| it.status() == 200) else {
                continue;
            };
            let is_newest = answer.text().contains("\"version\":2");
            record.say(format!(
                "the desired state comes back, newest = {is_newest}"
            ));
            return if is_newest {
                Verdict::Held
            } else {
                Verdict::Broken
            };
        }
        sleep(Duration::from_millis(500));
    }
    record.say("LOST: the acknowledged desired state does not come back");
    match is_completed {
        true => Verdict::Broken,
        false => Verdict::CouldNotRun,
    }
}
