//! The operators' requests to evacuate failure domains, and how a leader may act on what it has
//! read of them.
//!
//! It answers maintenance of a failure domain under full load: up to 8,927 starts a day were sent
//! to domains that operators had asked to leave alone.

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Share of the evacuation bound up to which a view is current. The rest covers a start that is
/// sent at the last moment, and the answers of the store and of the worker.
const CURRENT_SHARE: f64 = 0.6;

/// A request that no new task starts on the workers of a failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationRequest {
    /// Name of the failure domain.
    pub domain: String,
    /// Version of the row that holds the request.
    pub version: u64,
    /// When this process first saw the request.
    pub seen_at: TimePoint,
}

/// All requests in force, as this process last read them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationView {
    /// The requests, sorted by domain.
    pub requests: Vec<EvacuationRequest>,
    /// When the last call to the store that confirmed the view was sent; the epoch before the
    /// first.
    pub read_at: TimePoint,
}

/// Whether a leader may start tasks on the strength of its view.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ViewFreshness {
    /// The view is recent enough, or its age doesn't matter.
    #[default]
    Current,
    /// The view is so old, or was never read, that a request may be missing from it for too long.
    Stale,
}

/// How a later view differs from an earlier one in one domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationChange {
    /// The domain is to be evacuated from now on.
    Requested(EvacuationRequest),
    /// The row of the request was written again; the evacuation goes on.
    Rewritten(EvacuationRequest),
    /// The request was withdrawn.
    Ended(EvacuationRequest),
}

impl EvacuationView {
    /// Whether a domain is to be evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        self.find(domain).is_some()
    }

    /// The request to evacuate a domain.
    pub fn find(&self, domain: &str) -> Option<&EvacuationRequest> {
        let found = self
            .requests
            .binary_search_by(|request| request.domain.as_str().cmp(domain));
        found.ok().map(|place| &self.requests[place])
    }

    /// Whether tasks may be started under this view. `bound` is the time from a request to the last
    /// start in its domain; the age doesn't matter without one.
    pub fn freshness(&self, bound: Option<TimeSpan>, now: TimePoint) -> ViewFreshness {
        let Some(bound) = bound else {
            return ViewFreshness::Current;
        };
        let was_read = self.read_at != TimePoint::EPOCH;
        if was_read && now.since(self.read_at) <= bound.scale(CURRENT_SHARE) {
            ViewFreshness::Current
        } else {
            ViewFreshness::Stale
        }
    }

    /// Replaces the view by a later one and returns the changes, sorted by domain. A request whose
    /// row was written again keeps the time at which it was first seen.
    pub fn update(&mut self, later: &Self) -> Vec<EvacuationChange> {
        self.read_at = later.read_at;
        let is_same = |(one, other): (&EvacuationRequest, &EvacuationRequest)| {
            (one.version, &one.domain) == (other.version, &other.domain)
        };
        let unchanged = self.requests.len() == later.requests.len()
            && self.requests.iter().zip(&later.requests).all(is_same);
        if unchanged {
            return Vec::new();
        }
        let mut changes: Vec<EvacuationChange> = self
            .requests
            .iter()
            .filter(|request| !later.contains(&request.domain))
            .map(|request| EvacuationChange::Ended(request.clone()))
            .collect();
        let requests: Vec<EvacuationRequest> = later
            .requests
            .iter()
            .map(|request| {
                let known = self.find(&request.domain);
                let mut request = request.clone();
                if let Some(known) = known {
                    request.seen_at = request.seen_at.min(known.seen_at);
                }
                match known {
                    None => changes.push(EvacuationChange::Requested(request.clone())),
                    Some(known) if known.version != request.version => {
                        changes.push(EvacuationChange::Rewritten(request.clone()));
                    }
                    Some(_) => {}
                }
                request
            })
            .collect();
        self.requests = requests;
        changes.sort_by(|one, other| one.request().domain.cmp(&other.request().domain));
        changes
    }
}

impl EvacuationChange {
    /// The request as it is after the change, or was before it ended.
    pub const fn request(&self) -> &EvacuationRequest {
        match self {
            Self::Requested(request) | Self::Rewritten(request) | Self::Ended(request) => request,
        }
    }
}
