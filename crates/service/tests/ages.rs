//! Tests of the ages of jobs.

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::ages::JobAges;

/// Guards against keepers that keep all jobs for a full retention after each restart, and so forget
/// none if they restart often.
#[test]
fn the_age_of_a_job_goes_on_over_restarts() {
    let mut ages = JobAges::default();
    ages.record(ClockTime(500), "job", 0);
    let stored = ages.all(ClockTime(60_500));
    assert_eq!(stored["job"], 60_000);

    // The clock starts anew with the instance.
    let mut restarted = JobAges::default();
    restarted.record(ClockTime(10), "job", stored["job"]);
    restarted.record(ClockTime(20), "job", 0);
    restarted.record(ClockTime(20), "later", 0);
    assert_eq!(restarted.age_ms(ClockTime(1_010), "job"), Some(61_000));
    assert_eq!(restarted.age_ms(ClockTime(1_010), "later"), Some(990));
    assert_eq!(restarted.first_seen_at("job"), Some(ClockTime(10)));
    restarted.remove("job");
    assert_eq!(restarted.age_ms(ClockTime(1_010), "job"), None);
}
