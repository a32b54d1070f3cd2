//! The operators' requests to evacuate failure domains, as this process last read them.

use std::mem;

use sapphirewalk_core::domain_evacuation::EvacuationRequest;
use sapphirewalk_core::domain_evacuation::EvacuationView;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_platform::rules;
use sapphirewalk_platform::rules::OperatorKey;
use sapphirewalk_platform::store::RowPage;
use sapphirewalk_platform::store::StoredRow;

/// What a page of the operators' table changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ViewChange {
    /// Nothing: the page is older than the view, or it is incomplete and has no requests.
    Nothing,
    /// The requests are the same, at a later time.
    Confirmed,
    /// Requests were added, removed or written again.
    Requests,
}

/// Keeps the view of the requests in step with the pages that the store returns. Two tasks read the
/// table while a leadership begins, so that pages may arrive in another order than their versions.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTracker {
    view: EvacuationView,
    /// Version of the store up to which the view contains all changes.
    version: u64,
    /// Number of changes of the view, including confirmations.
    changes: u64,
}

impl EvacuationTracker {
    /// The requests in force.
    pub const fn view(&self) -> &EvacuationView {
        &self.view
    }

    /// Number of changes of the view so far, including those of `read_at` only.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Replaces the requests with those in a page of the whole table, which a call sent at
    /// `sent_at` returned.
    pub fn replace(&mut self, page: &RowPage, sent_at: TimePoint, now: TimePoint) -> ViewChange {
        if page.version < self.version {
            return ViewChange::Nothing;
        }
        let before = mem::take(&mut self.view.requests);
        for row in &page.rows {
            self.apply_row(row, now);
        }
        self.version = page.version;
        self.finish(&before, Some(sent_at))
    }

    /// Applies the changes in a page of the feed, which a call sent at `sent_at` returned. Changes
    /// that the view already contains are passed over.
    pub fn apply(&mut self, page: &RowPage, sent_at: TimePoint, now: TimePoint) -> ViewChange {
        let before = self.view.requests.clone();
        let version = self.version;
        for row in page.rows.iter().filter(|row| row.version > version) {
            self.apply_row(row, now);
        }
        if page.has_more {
            return self.finish(&before, None);
        }
        self.version = self.version.max(page.version);
        self.finish(&before, Some(sent_at))
    }

    fn apply_row(&mut self, row: &StoredRow, now: TimePoint) {
        let OperatorKey::Evacuation(domain) = rules::parse_operator_key(&row.key) else {
            return;
        };
        let requests = &mut self.view.requests;
        let found = requests.binary_search_by(|request| request.domain.as_str().cmp(domain));
        match (found, row.deleted) {
            (Ok(index), true) if row.version >= requests[index].version => {
                requests.remove(index);
            }
            (Ok(index), false) if row.version > requests[index].version => {
                requests[index].version = row.version;
            }
            (Err(index), false) => requests.insert(
                index,
                EvacuationRequest {
                    domain: domain.to_owned(),
                    version: row.version,
                    seen_at: now,
                },
            ),
            (Ok(_), _) | (Err(_), true) => {}
        }
    }

    /// Keeps the time at which each request was first seen, also of one that was removed and
    /// written again within one page.
    fn finish(&mut self, before: &[EvacuationRequest], read_at: Option<TimePoint>) -> ViewChange {
        for request in &mut self.view.requests {
            let found = before.binary_search_by(|other| other.domain.cmp(&request.domain));
            if let Ok(index) = found {
                request.seen_at = before[index].seen_at;
            }
        }
        let confirmed_at = read_at.filter(|at| *at > self.view.read_at);
        if let Some(at) = confirmed_at {
            self.view.read_at = at;
        }
        let change = if self.view.requests != before {
            ViewChange::Requests
        } else if confirmed_at.is_some() {
            ViewChange::Confirmed
        } else {
            ViewChange::Nothing
        };
        if change != ViewChange::Nothing {
            self.changes += 1;
        }
        change
    }
}
