//! Parses and validates the headers of requests.

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

/// Longest user name, idempotency key or request ID, in bytes.
const NAME_BYTES_MAX: usize = 128;
/// Headers that apply to one connection only, or that the gateway sets itself.
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
/// Hop-by-hop header of HTTP/1.0, for which the `header` module has no constant.
const KEEP_ALIVE_HEADER: &str = "keep-alive";

/// A complete and valid request.
#[derive(Clone, Debug)]
pub struct GatewayRequest {
    /// ID for the caller and for endpoints. The caller may choose it, so it need not be unique.
    pub id: String,
    /// Unique among the requests of all gateway processes.
    pub token: String,
    /// HTTP method; passed on to the endpoint.
    pub method: Method,
    /// Path and query; passed on to the endpoint.
    pub path: String,
    /// Headers without those that apply to one connection only.
    pub headers: HeaderMap,
    /// Complete body, at most `gateway.body_bytes_max` bytes long.
    pub body: Bytes,
    /// Name of the kind in the bundle.
    pub kind: String,
    /// Name of the user that the request is counted for.
    pub user: String,
    /// Name of the service that runs the kind.
    pub service: String,
    /// Whether the request may run more than once; a property of its kind.
    pub is_idempotent: bool,
    /// Key that repeats of the request share. Always present unless the request is idempotent.
    pub idempotency_key: Option<String>,
    /// Time at which the request was complete at this gateway.
    pub arrived_at: TimePoint,
    /// Time after which the answer is of no use.
    pub deadline: RequestDeadline,
    /// Longest time from arrival to deadline that the kind allows.
    pub longest_deadline: TimeSpan,
    /// Whether it came from a caller or a peer.
    pub origin: RequestOrigin,
}

/// Request line and headers, not validated yet.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Unique among the requests of all gateway processes.
    pub token: String,
    /// HTTP method of the request line.
    pub method: Method,
    /// Path and query of the request line.
    pub path: String,
    /// All headers as received.
    pub headers: HeaderMap,
    /// Whether it came from a caller or a peer.
    pub origin: RequestOrigin,
}

impl RequestHead {
    /// Validates the headers against the bundle and combines them with the body.
    ///
    /// # Errors
    ///
    /// The first fault found in the headers.
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

    /// The ID that the caller chose if it is valid, else the token.
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

    /// Value of a header; `None` if it is missing or not text.
    pub fn text(&self, name: &str) -> Option<String> {
        let value = self.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    }
}

/// Removes the headers that apply to one connection only, including those that the `Connection`
/// header names.
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
