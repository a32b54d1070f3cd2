//! Checks how pages of the operators' table change the view of the evacuation requests.

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_platform::rules;
use sapphirewalk_platform::store::RowPage;
use sapphirewalk_platform::store::StoredRow;

use crate::evacuation::EvacuationTracker;
use crate::evacuation::ViewChange;

fn at(ms: u64) -> TimePoint {
    TimePoint::from_millis(ms)
}

fn row(key: &str, version: u64) -> StoredRow {
    StoredRow {
        key: key.to_owned(),
        version,
        ..StoredRow::default()
    }
}

fn request(domain: &str, version: u64) -> StoredRow {
    row(&rules::evacuation_key(domain), version)
}

fn removal(domain: &str, version: u64) -> StoredRow {
    StoredRow {
        deleted: true,
        ..request(domain, version)
    }
}

fn page(version: u64, rows: Vec<StoredRow>) -> RowPage {
    RowPage {
        rows,
        version,
        ..RowPage::default()
    }
}

/// Domain, version and time in ms at which it was first seen, of each request.
fn requests(tracker: &EvacuationTracker) -> Vec<(&str, u64, u64)> {
    let requests = tracker.view().requests.iter();
    requests
        .map(|request| {
            let seen_ms = request.seen_at.since(TimePoint::default()).as_millis();
            (request.domain.as_str(), request.version, seen_ms)
        })
        .collect()
}

/// Guards against a request that stays after its row was removed in a part of the history that the
/// feed has lost.
#[test]
fn a_read_of_the_whole_table_replaces_the_requests() {
    let mut tracker = EvacuationTracker::default();
    let rows = vec![
        row("config", 1),
        request("b", 3),
        request("a", 2),
        row("evacuate/", 3),
        row("wave/1", 3),
    ];
    assert_eq!(
        tracker.replace(&page(3, rows), at(10), at(14)),
        ViewChange::Requests
    );
    assert_eq!(requests(&tracker), [("a", 2, 14), ("b", 3, 14)]);
    let change = tracker.replace(&page(9, vec![request("b", 3)]), at(20), at(24));
    assert_eq!(change, ViewChange::Requests);
    assert_eq!(requests(&tracker), [("b", 3, 14)]);
    assert_eq!(tracker.view().read_at, at(20));
}

/// Guards against changes of the feed that are missed, or applied out of order.
#[test]
fn the_feed_adds_and_removes_requests() {
    let mut tracker = EvacuationTracker::default();
    tracker.replace(&page(1, Vec::new()), at(1), at(2));
    let added = page(4, vec![request("b", 3), request("a", 4)]);
    assert_eq!(tracker.apply(&added, at(5), at(9)), ViewChange::Requests);
    assert_eq!(requests(&tracker), [("a", 4, 9), ("b", 3, 9)]);
    let removed = page(6, vec![removal("a", 5), removal("unknown", 6)]);
    assert_eq!(
        tracker.apply(&removed, at(10), at(11)),
        ViewChange::Requests
    );
    assert_eq!(requests(&tracker), [("b", 3, 9)]);
}

/// Guards against an evacuation that counts as new, so that its age starts again, because its row
/// was written again.
#[test]
fn a_row_that_is_removed_and_written_again_is_a_new_version_of_the_request() {
    let mut tracker = EvacuationTracker::default();
    tracker.replace(&page(2, vec![request("a", 2)]), at(1), at(2));
    let again = page(4, vec![removal("a", 3), request("a", 4)]);
    assert_eq!(tracker.apply(&again, at(5), at(6)), ViewChange::Requests);
    assert_eq!(requests(&tracker), [("a", 4, 2)]);
    tracker.replace(&page(8, vec![request("a", 8)]), at(7), at(8));
    assert_eq!(requests(&tracker), [("a", 8, 2)]);
    // Removed and requested in two reads, it is another request.
    tracker.apply(&page(9, vec![removal("a", 9)]), at(9), at(10));
    tracker.apply(&page(10, vec![request("a", 10)]), at(11), at(12));
    assert_eq!(requests(&tracker), [("a", 10, 12)]);
}

/// Guards against a view that counts as newer than it is: a long poll confirms it as of its
/// sending, and an incomplete page doesn't confirm it.
#[test]
fn only_complete_pages_confirm_the_view_as_of_the_time_they_were_asked_for() {
    let mut tracker = EvacuationTracker::default();
    tracker.replace(&page(2, Vec::new()), at(10), at(14));
    let changes = tracker.changes();
    let poll = tracker.apply(&page(7, Vec::new()), at(20), at(1_020));
    assert_eq!(poll, ViewChange::Confirmed);
    assert_eq!(tracker.view().read_at, at(20));
    assert_eq!(tracker.changes(), changes + 1);
    let partial = RowPage {
        has_more: true,
        ..page(8, vec![request("a", 8)])
    };
    assert_eq!(
        tracker.apply(&partial, at(1_020), at(1_030)),
        ViewChange::Requests
    );
    assert_eq!(tracker.view().read_at, at(20));
    assert_eq!(requests(&tracker), [("a", 8, 1_030)]);
}

/// Guards against an answer that arrives late and undoes a newer one: a new leader reads the table
/// while its long poll is under way.
#[test]
fn answers_that_are_older_than_the_view_change_no_request() {
    let mut tracker = EvacuationTracker::default();
    tracker.replace(&page(2, vec![request("a", 2)]), at(1), at(2));
    tracker.replace(&page(5, vec![request("a", 5)]), at(30), at(34));
    // The poll was sent first and returns the removal that preceded the row's present version.
    let late = page(3, vec![removal("a", 3)]);
    assert_eq!(tracker.apply(&late, at(20), at(35)), ViewChange::Nothing);
    let read = tracker.replace(&page(4, Vec::new()), at(25), at(36));
    assert_eq!(read, ViewChange::Nothing);
    assert_eq!(requests(&tracker), [("a", 5, 2)]);
    assert_eq!(tracker.view().read_at, at(30));
}
