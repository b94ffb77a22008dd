//! Tests the shares of a process's memory and disk.

use rstest::rstest;

use bergamotlane_service::budget::BudgetError;
use bergamotlane_service::budget::ResourceBudget;
use bergamotlane_service::budget::ResourceLimits;

fn limits(memory_mb: u64, disk_mb: u64) -> ResourceLimits {
    let bytes = |mb: u64| (mb > 0).then_some(mb * 1_000_000);
    ResourceLimits {
        memory_bytes: bytes(memory_mb),
        disk_bytes: bytes(disk_mb),
    }
}

/// Guards against shares that together exceed the limit that kills the process.
#[rstest]
#[case::least(64, 64)]
#[case::small(120, 300)]
#[case::usual(260, 2_000)]
#[case::large(4_000, 100_000)]
fn shares_stay_below_the_limits(#[case] memory_mb: u64, #[case] disk_mb: u64) {
    let limits = limits(memory_mb, disk_mb);
    let keeper = ResourceBudget::for_keeper(limits).unwrap();
    let entry = ResourceBudget::for_entry(limits).unwrap();
    let tenth = memory_mb * 1_000_000 / 10;
    for budget in [keeper, entry] {
        assert!(budget.memory_bytes() + tenth < memory_mb * 1_000_000 - 10_000_000);
        assert!(budget.outbound_bytes > 0 && budget.inbound_bytes > 0 && budget.bodies_bytes > 0);
    }
    assert!(keeper.disk_bytes > 0 && keeper.disk_bytes < disk_mb * 1_000_000);
    assert!(keeper.state_bytes > 0 && keeper.log_tail_bytes > 0 && keeper.texts_bytes > 0);
}

#[test]
fn unknown_limits_have_defaults() {
    let keeper = ResourceBudget::for_keeper(ResourceLimits::default()).unwrap();
    assert!(keeper.memory_bytes() > 0 && keeper.disk_bytes > 0);
    assert!(ResourceBudget::for_entry(ResourceLimits::default()).is_ok());
}

#[test]
fn limits_that_can_not_work_are_errors() {
    let error = ResourceBudget::for_keeper(limits(20, 0)).unwrap_err();
    assert!(matches!(
        error,
        BudgetError::Memory {
            given: 20_000_000,
            ..
        }
    ));
    let error = ResourceBudget::for_keeper(limits(0, 5)).unwrap_err();
    assert!(matches!(
        error,
        BudgetError::Disk {
            given: 5_000_000,
            ..
        }
    ));
    assert!(ResourceBudget::for_entry(limits(0, 5)).is_ok());
}

#[test]
fn two_roles_in_a_process_share_its_memory() {
    let whole = limits(260, 2_000);
    let half = whole.halve();
    assert_eq!(half, limits(130, 2_000));
}
