//! Texts kept for another run: shares in and out of order, versions, expiry.

use bytes::Bytes;
use rstest::rstest;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::texts::TextDelta;
use bergamotlane_service::texts::TextKey;
use bergamotlane_service::texts::TextStore;
use bergamotlane_service::work::PartialText;

const START: ClockTime = ClockTime(10_000);

fn key(item: &str) -> TextKey {
    TextKey {
        customer: Some("c".to_owned()),
        item: item.to_owned(),
    }
}

fn text(events: u64, versions: &[u64]) -> PartialText {
    PartialText {
        events: (0..events)
            .map(|it| Bytes::from(format!("event {it}")))
            .collect(),
        last_id: events.checked_sub(1),
        versions: versions.to_vec(),
    }
}

fn share(run: u64, told: u32, text: &PartialText) -> TextDelta {
    TextDelta::since(&key("i"), run, told, text).unwrap()
}

#[test]
fn shares_of_one_run_add_up_to_its_text() {
    let mut store = TextStore::default();
    store.take(START, share(1, 0, &text(3, &[4])));
    store.take(START + 900, share(1, 3, &text(7, &[4, 5])));
    assert_eq!(store.get(&key("i"), 4), Some(&text(7, &[4, 5])));
}

#[rstest]
#[case::lost_share(share(1, 5, &text(7, &[4])))]
#[case::doubled_share(share(1, 1, &text(3, &[4])))]
#[case::other_run(share(2, 3, &text(7, &[4])))]
fn a_share_that_does_not_follow_changes_nothing(#[case] late: TextDelta) {
    let mut store = TextStore::default();
    store.take(START, share(1, 0, &text(3, &[4])));
    store.take(START + 900, late);
    assert_eq!(store.get(&key("i"), 4), Some(&text(3, &[4])));
}

#[test]
fn a_new_run_from_the_start_replaces_the_text() {
    let mut store = TextStore::default();
    store.take(START, share(1, 0, &text(9, &[4])));
    store.take(START, share(2, 0, &text(2, &[5])));
    assert_eq!(store.get(&key("i"), 5), Some(&text(2, &[5])));
}

#[rstest]
#[case::all_fresh(4, true)]
#[case::one_too_old(5, false)]
fn a_text_with_an_older_version_than_allowed_is_of_no_use(
    #[case] min_version: u64,
    #[case] expected: bool,
) {
    let mut store = TextStore::default();
    store.keep(START, key("i"), 1, text(3, &[4, 5]));
    assert_eq!(store.get(&key("i"), min_version).is_some(), expected);
}

#[test]
fn nothing_new_makes_no_share() {
    assert!(TextDelta::since(&key("i"), 1, 3, &text(3, &[4])).is_none());
    assert!(TextDelta::since(&key("i"), 1, 9, &text(3, &[4])).is_none());
}

#[test]
fn texts_of_other_customers_and_of_done_items_are_not_found() {
    let mut store = TextStore::default();
    store.keep(START, key("i"), 1, text(3, &[4]));
    let other = TextKey {
        customer: None,
        item: "i".to_owned(),
    };
    assert_eq!(store.get(&other, 1), None);
    store.remove(&key("i"));
    assert!(store.is_empty());
}

#[test]
fn texts_that_no_longer_grow_are_forgotten() {
    let mut store = TextStore::default();
    store.keep(START, key("i"), 1, text(3, &[4]));
    store.keep(START + 15_000, key("k"), 2, text(3, &[4]));
    store.expire(START + 25_000);
    assert_eq!(store.len(), 1);
}
