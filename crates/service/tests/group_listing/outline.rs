//! Tests what a new leader takes over of the groups of a job.

use std::collections::BTreeSet;

use crate::TestQueue;
use bergamotlane_service::job_listing::JobOutline;
use bergamotlane_service::jobs::ItemEnd;
use bergamotlane_service::jobs::ItemResult;
use bergamotlane_service::jobs::ItemSpec;
use bergamotlane_service::jobs::JobSubmission;
use bergamotlane_service::jobs::JobTable;
use bergamotlane_service::payload::PayloadRef;

/// Guards against a new leader that counts items as unfinished whose results an earlier leader listed.
#[test]
fn items_that_an_earlier_leader_listed_count_for_their_group() {
    let mut jobs = TestQueue::with_outline(JobOutline {
        groups: vec![0, 0, 1, 1, 2, 2],
        listed: vec![
            Some(ItemEnd::Completed),
            None,
            Some(ItemEnd::Completed),
            Some(ItemEnd::Completed),
            None,
            None,
        ],
        carried: BTreeSet::new(),
        desired: 2,
    });
    jobs.complete(0, &[2, 4]);
    assert!(jobs.listed(1_000).is_empty());
    jobs.complete(1_000, &[1]);
    assert_eq!(jobs.listed(1_000), [vec![1]], "two groups are complete");
}

/// Guards against items without a group ID that wait for each other, against groups or results of a job
/// that a new leader takes for others, and against items of later jobs or other customers that count as
/// carried over.
#[test]
fn the_outline_of_a_job_has_its_groups_and_what_is_listed() {
    let item = |(index, group): (usize, &&str)| ItemSpec {
        id: format!("i{index}"),
        path: "/p/1".to_owned(),
        headers: Vec::new(),
        body: PayloadRef::default(),
        tokens: 20,
        group: (*group).to_owned(),
        expected_tokens: None,
        reward: None,
    };
    let submission = |id: &str, customer: Option<&str>, items: Vec<ItemSpec>| JobSubmission {
        id: id.to_owned(),
        customer: customer.map(str::to_owned),
        former_customer: None,
        host: "desk.example".to_owned(),
        path: "/p/j".to_owned(),
        model: "m".to_owned(),
        min_version: 1,
        desired: 2,
        items,
    };
    let items: Vec<ItemSpec> = ["", "g", "", "h", "g"]
        .iter()
        .enumerate()
        .map(item)
        .collect();
    let mut jobs = JobTable::default();
    jobs.submit(1, submission("a", None, items[4..].to_vec()));
    jobs.submit(2, submission("b", Some("other"), items.clone()));
    jobs.submit(3, submission("j", None, items.clone()));
    jobs.submit(4, submission("k", None, items));
    jobs.list("j", ItemResult::terminated(3));
    let outline = JobOutline::of(&jobs, jobs.get("j").unwrap());
    assert_eq!(outline.carried, BTreeSet::from([1]), "only from job a");
    assert_eq!(outline.groups, [0, 1, 2, 3, 1]);
    let ends = [None, None, None, Some(ItemEnd::Terminated), None];
    assert_eq!(outline.listed, ends);
    assert_eq!(outline.desired, 2);
}
