//! HTTP headers between callers, gateways and endpoints, and the words for outcomes.

/// Kind of work of a request, by its name in the bundle; set by the caller.
pub const KIND_HEADER: &str = "sapphirewalk-kind";
/// User of a request; set by the caller.
pub const USER_HEADER: &str = "sapphirewalk-user";
/// Team of a request; set by the caller.
pub const TEAM_HEADER: &str = "sapphirewalk-team";
/// Time remaining until the deadline, in milliseconds; set by the caller, reduced at each hop.
pub const DEADLINE_HEADER: &str = "sapphirewalk-deadline-ms";
/// Key of a request that is not idempotent; the caller repeats it when it repeats the request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Identifier of a request; echoed by the endpoint and returned to the caller.
pub const REQUEST_ID_HEADER: &str = "sapphirewalk-request-id";
/// Outcome of a request, one of the `OUTCOME_` words below; set by the gateway on each answer.
pub const OUTCOME_HEADER: &str = "sapphirewalk-outcome";
/// Reason for any other outcome than [`OUTCOME_ANSWERED`], in one word; set by the gateway.
pub const REASON_HEADER: &str = "sapphirewalk-reason";
/// Set by an endpoint that is shutting down; gateways send it no further requests.
pub const LEAVING_HEADER: &str = "sapphirewalk-leaving";
/// Set by an endpoint on the refusal of a request that it has not started to run.
pub const NOT_STARTED_HEADER: &str = "sapphirewalk-not-started";
/// Path of the health probe of an endpoint, which uses no slot: 200 if ready, 503 if leaving.
pub const HEALTH_PATH: &str = "/health";

/// Outcome: an endpoint answered, and the answer is complete.
pub const OUTCOME_ANSWERED: &str = "answered";
/// Outcome: no endpoint has run the request (503, or 4xx for an invalid request).
pub const OUTCOME_NOT_RUN: &str = "not-run";
/// Outcome: an endpoint may have run the request (502 or 504).
pub const OUTCOME_UNKNOWN: &str = "unknown";
/// Outcome: an earlier request with the same idempotency key has been accepted (409).
pub const OUTCOME_DUPLICATE: &str = "duplicate";
