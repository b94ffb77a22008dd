//! Tests whose jobs the items of a job find when it carries them over.

use rstest::rstest;

use crate::support::result;
use crate::support::submission;
use bergamotlane_service::jobs::ItemFault;
use bergamotlane_service::jobs::ItemResult;
use bergamotlane_service::jobs::JobSubmission;
use bergamotlane_service::jobs::JobTable;

/// Returns a job of a customer that the plan names, of one that an earlier plan named, or of none.
fn job(id: &str, customer: Option<&str>, former_customer: Option<&str>) -> JobSubmission {
    JobSubmission {
        customer: customer.map(str::to_owned),
        former_customer: former_customer.map(str::to_owned),
        ..submission(id, 2)
    }
}

/// Guards against results that a customer's later job doesn't find, since the plan named no customers when
/// one of the jobs was submitted, and against those that another customer's job, or nobody's, finds.
#[rstest]
#[case::named(Some("mint"), None, true)]
#[case::former(None, Some("mint"), true)]
#[case::other(Some("ridge"), None, false)]
#[case::other_former(None, Some("ridge"), false)]
#[case::nobody(None, None, false)]
fn carried_over_items_find_the_jobs_that_their_owner_may_see_alone(
    #[case] customer: Option<&str>,
    #[case] former_customer: Option<&str>,
    #[case] finds: bool,
    #[values((Some("mint"), None), (None, Some("mint")))] earlier: (Option<&str>, Option<&str>),
) {
    let mut jobs = JobTable::default();
    jobs.submit(1, job("earlier", earlier.0, earlier.1));
    jobs.list("earlier", result(0, "text"));
    jobs.list("earlier", ItemResult::faulty(1, ItemFault::Rejected));
    let later = job("later", customer, former_customer);
    jobs.submit(2, later.clone());
    let owner = later.owner();
    let finished = jobs.finished(owner, &later.items[0], 1);
    assert_eq!(finished.is_some(), finds);
    let fault = jobs.lasting_fault(owner, &later.items[1].id);
    assert_eq!(fault.is_some(), finds);
    assert_eq!(jobs.other_job_items(owner, "later").count() > 0, finds);
    let record = jobs.get("later").unwrap();
    assert_eq!(jobs.earlier_job_items(record).count() > 0, finds);
}

/// Guards against a customer's job that generates again what a job without an owner has, which everybody
/// may read.
#[test]
fn a_customers_job_finds_the_results_of_a_job_without_an_owner() {
    let mut jobs = JobTable::default();
    jobs.submit(1, job("earlier", None, None));
    jobs.list("earlier", result(0, "text"));
    let later = job("later", Some("mint"), None);
    assert!(jobs.finished(later.owner(), &later.items[0], 1).is_some());
}

/// Guards against another job that counts as the same submission, and against the same one that doesn't
/// since some of its items are listed.
#[test]
fn a_job_is_told_apart_by_what_stays_when_its_items_are_listed() {
    let submitted = job("j", Some("mint"), None);
    let mut jobs = JobTable::default();
    jobs.submit(1, submitted.clone());
    jobs.list("j", result(0, "text"));
    jobs.end("j");
    let digest = submitted.content_digest();
    assert_eq!(jobs.get("j").unwrap().submission.content_digest(), digest);
    let changes: [fn(&mut JobSubmission); 6] = [
        |it| it.items[1].id = "other".to_owned(),
        |it| it.items[1].group = "other".to_owned(),
        |it| it.items[1].tokens += 1,
        |it| it.model = "other".to_owned(),
        |it| it.min_version += 1,
        |it| drop(it.items.pop()),
    ];
    for change in changes {
        let mut other = submitted.clone();
        change(&mut other);
        assert_ne!(other.content_digest(), digest);
    }
}
