//! Tests which batch jobs are accepted, and when callers of the others should return.

use rstest::rstest;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::admission::AdmissionReply;
use bergamotlane_policy::admission::FullShare;
use bergamotlane_policy::admission::JobAdmission;
use bergamotlane_policy::admission::JobSize;
use bergamotlane_policy::admission::StoreLoad;
use bergamotlane_policy::admission::StoreShares;

const START: ClockTime = ClockTime(10_000);

const SHARES: StoreShares = StoreShares {
    disk_bytes: 10_000_000,
    state_bytes: 1_000_000,
    job_bytes: 2_000_000,
};

fn job(disk_bytes: u64, items: u64) -> JobSize {
    JobSize {
        disk_bytes,
        state_bytes: 500 * items,
        items,
    }
}

/// Returns a load whose results have 1,000 bytes each.
fn load(disk_bytes: u64, state_bytes: u64, open_items: u64) -> StoreLoad {
    StoreLoad {
        disk_bytes,
        state_bytes,
        open_items,
        results: 1_000_000,
        result_bytes: 1_000_000_000,
    }
}

#[rstest]
#[case::empty(load(0, 0, 0), job(1_000_000, 100), None)]
#[case::nearly_full(load(7_800_000, 0, 0), job(1_000_000, 90), None)]
#[case::full_disk(load(8_000_000, 0, 0), job(1_000_000, 100), Some(FullShare::Disk))]
#[case::results_to_come(load(1_000_000, 0, 7_000), job(1_000_000, 100), Some(FullShare::Disk))]
#[case::full_state(load(0, 870_000, 0), job(1_000, 100), Some(FullShare::State))]
fn a_job_is_refused_if_it_or_its_results_do_not_fit(
    #[case] load: StoreLoad,
    #[case] job: JobSize,
    #[case] expected: Option<FullShare>,
) {
    let found = match JobAdmission::new(SHARES).decide(&load, job) {
        AdmissionReply::Accepted => None,
        AdmissionReply::Refused { share, .. } => Some(share),
        AdmissionReply::TooLarge => panic!("the job would fit into an empty store"),
    };
    assert_eq!(found, expected);
}

#[rstest]
#[case::entry(job(2_000_001, 1))]
#[case::results(job(1_000, 9_500))]
#[case::state(job(1_000, 2_000))]
fn a_job_that_never_fits_is_told_apart(#[case] job: JobSize) {
    let reply = JobAdmission::new(SHARES).decide(&load(0, 0, 0), job);
    assert_eq!(reply, AdmissionReply::TooLarge);
}

#[test]
fn callers_return_when_the_missing_space_is_free() {
    let mut admission = JobAdmission::new(SHARES);
    let return_ms = |admission: &JobAdmission, disk_bytes: u64| match admission
        .decide(&load(disk_bytes, 0, 0), job(1_000_000, 0))
    {
        AdmissionReply::Refused { return_ms, .. } => return_ms,
        reply => panic!("{reply:?}"),
    };
    assert_eq!(return_ms(&admission, 8_400_000), 3_000);
    admission.observe(START, &load(9_000_000, 0, 0));
    admission.observe(START + 2_000, &load(8_800_000, 0, 0));
    assert_eq!(return_ms(&admission, 8_400_000), 4_000);
    assert_eq!(return_ms(&admission, 8_010_000), 1_000);
    assert_eq!(return_ms(&admission, 99_000_000), 30_000);
}

/// Guards against a first large job whose results are taken to be empty since none is known yet.
#[test]
fn results_are_expected_to_take_space_before_any_is_known() {
    let first = StoreLoad::default();
    assert!(first.mean_result_bytes() > 1_000);
    let later = load(0, 0, 0);
    assert_eq!(later.mean_result_bytes(), 1_000);
}
