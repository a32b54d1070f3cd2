//! A request as the gateway carries it, read from the caller's headers.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header;

use sapphirewalk_core::admission::RequestOrigin;
use sapphirewalk_core::deadline::RequestDeadline;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::bundle::BundleDocument;
use sapphirewalk_wire::endpoint;

use crate::gateway::outcome::RequestFault;

/// Longest user name or idempotency key, in bytes.
const NAME_BYTES_MAX: usize = 128;
/// Headers that hold for one connection only.
const HOP_HEADERS: [header::HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// The older header that holds for one connection only.
const KEEP_ALIVE_HEADER: &str = "keep-alive";

/// A request, whole.
#[derive(Clone, Debug)]
pub struct GatewayRequest {
    /// Identifies the request to its caller and to endpoints; the caller may choose it.
    pub id: String,
    /// Identifies the request among all that any gateway ever took up.
    pub token: String,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The kind of work.
    pub kind: String,
    /// The user.
    pub user: String,
    /// The service that runs the kind.
    pub service: String,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Identifies a request that is not idempotent across repeats.
    pub idempotency_key: Option<String>,
    /// When it arrived.
    pub arrived_at: TimePoint,
    /// When its answer is no longer wanted.
    pub deadline: RequestDeadline,
    /// The longest that the kind allows.
    pub longest_deadline: TimeSpan,
    /// Whether it came from a caller or a peer.
    pub origin: RequestOrigin,
}

/// What the headers say of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Identifies the request among all that any gateway ever took up.
    pub token: String,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// All headers.
    pub headers: HeaderMap,
    /// Whether it came from a caller or a peer.
    pub origin: RequestOrigin,
}

impl RequestHead {
    /// Reads the request that the headers describe.
    ///
    /// # Errors
    ///
    /// The first fault found.
    pub fn parse(
        &self,
        body: Bytes,
        document: &BundleDocument,
        now: TimePoint,
    ) -> Result<GatewayRequest, RequestFault> {
        let name = self.text(endpoint::KIND_HEADER);
        let kind = document
            .kinds
            .iter()
            .find(|kind| Some(&kind.name) == name.as_ref())
            .ok_or(RequestFault::UnknownKind)?;
        let service = kind.service.clone().ok_or(RequestFault::UnknownKind)?;
        let user = self
            .text(endpoint::USER_HEADER)
            .filter(|user| is_name(user));
        let user = user.ok_or(RequestFault::NoUser)?;
        let idempotency_key = match self.text(endpoint::IDEMPOTENCY_KEY_HEADER) {
            Some(key) if is_name(&key) => Some(key),
            _ if kind.idempotent => None,
            _ => return Err(RequestFault::NoIdempotencyKey),
        };
        let requested = self.requested_span()?;
        let longest_deadline = TimeSpan::from_millis(kind.deadline_ms);
        let id = self.id().to_owned();
        let mut headers = self.headers.clone();
        strip_hop_headers(&mut headers);
        Ok(GatewayRequest {
            id,
            token: self.token.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers,
            body,
            kind: kind.name.clone(),
            user,
            service,
            is_idempotent: kind.idempotent,
            idempotency_key,
            arrived_at: now,
            deadline: RequestDeadline::on_arrival(requested, longest_deadline, now),
            longest_deadline,
            origin: self.origin,
        })
    }

    /// The ID that the caller chose, or the token.
    pub fn id(&self) -> &str {
        let chosen = self.headers.get(endpoint::REQUEST_ID_HEADER);
        let chosen = chosen.and_then(|value| value.to_str().ok());
        chosen.filter(|id| is_name(id)).unwrap_or(&self.token)
    }

    fn requested_span(&self) -> Result<Option<TimeSpan>, RequestFault> {
        let Some(value) = self.headers.get(endpoint::DEADLINE_HEADER) else {
            return Ok(None);
        };
        let millis = value.to_str().ok().and_then(|text| text.parse().ok());
        let millis = millis.ok_or(RequestFault::BadDeadline)?;
        Ok(Some(TimeSpan::from_millis(millis)))
    }

    /// A header as text.
    pub fn text(&self, name: &str) -> Option<String> {
        let value = self.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    }
}

/// Removes the headers that hold for one connection only, and those that the connection names.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(&name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE_HEADER);
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= NAME_BYTES_MAX && !text.contains('/')
}
