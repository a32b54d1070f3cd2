//! The platform's HTTP interface.

use std::sync;
use std::time;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;

use sapphirewalk_wire::platform as wire;

use crate::clock;
use crate::platform::CALLER_HEADER;
use crate::platform::PlatformService;
use crate::platform::PlatformState;
use crate::platform::fault::CallAdmission;
use crate::platform::objects::PutOutcome;
use crate::server;
use crate::server::AnswerBody;
use crate::server::HandlerAction;

type SharedState = sync::Arc<sync::Mutex<PlatformState>>;

/// The operation that the method and path of a request select.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallRoute {
    Transaction,
    Read,
    Scan,
    PutObject,
    GetObject,
    ListObjects,
    VmList,
}

/// Serves one request.
pub(super) async fn handle(state: SharedState, request: Request<Incoming>) -> HandlerAction {
    let Some(route) = find_route(request.method(), request.uri().path()) else {
        return HandlerAction::Answer(server::empty_answer(StatusCode::NOT_FOUND));
    };
    let delay_ms = clock::lock(&state).faults.delay_ms;
    if delay_ms > 0 {
        tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
    }
    let caller = request
        .headers()
        .get(CALLER_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let admission = clock::lock(&state).faults.admit(service_of(route), caller);
    match admission {
        CallAdmission::Serve => serve(&state, route, request).await,
        CallAdmission::Refuse => {
            HandlerAction::Answer(server::empty_answer(StatusCode::SERVICE_UNAVAILABLE))
        }
        CallAdmission::Close => HandlerAction::Close,
    }
}

fn find_route(method: &Method, path: &str) -> Option<CallRoute> {
    match (method, path) {
        (&Method::POST, wire::TRANSACTION_PATH) => Some(CallRoute::Transaction),
        (&Method::POST, wire::READ_PATH) => Some(CallRoute::Read),
        (&Method::POST, wire::SCAN_PATH) => Some(CallRoute::Scan),
        (&Method::POST, wire::OBJECT_LIST_PATH) => Some(CallRoute::ListObjects),
        (&Method::GET, wire::VM_LIST_PATH) => Some(CallRoute::VmList),
        (&Method::PUT, path) if path.starts_with(wire::OBJECT_PATH_PREFIX) => {
            Some(CallRoute::PutObject)
        }
        (&Method::GET, path) if path.starts_with(wire::OBJECT_PATH_PREFIX) => {
            Some(CallRoute::GetObject)
        }
        _ => None,
    }
}

const fn service_of(route: CallRoute) -> PlatformService {
    match route {
        CallRoute::Transaction | CallRoute::Read | CallRoute::Scan => PlatformService::Table,
        CallRoute::PutObject | CallRoute::GetObject | CallRoute::ListObjects => {
            PlatformService::Objects
        }
        CallRoute::VmList => PlatformService::VmList,
    }
}

async fn serve(state: &SharedState, route: CallRoute, request: Request<Incoming>) -> HandlerAction {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let object_name = path
        .strip_prefix(wire::OBJECT_PATH_PREFIX)
        .unwrap_or_default();
    let answer = match route {
        CallRoute::Transaction => return transact(state, body).await,
        CallRoute::Read => read(state, body).await,
        CallRoute::Scan => scan(state, body).await,
        CallRoute::PutObject => put_object(state, object_name, body).await,
        CallRoute::GetObject => Some(get_object(state, object_name)),
        CallRoute::ListObjects => list_objects(state, body).await,
        CallRoute::VmList => Some(list_vms(state, parts.headers.get(header::IF_NONE_MATCH))),
    };
    HandlerAction::Answer(answer.unwrap_or_else(bad_request))
}

async fn transact(state: &SharedState, body: Incoming) -> HandlerAction {
    let Some(request) = server::read_json::<wire::TransactionRequest>(body).await else {
        return HandlerAction::Answer(bad_request());
    };
    if request.changes.len() > wire::TRANSACTION_ROWS_MAX {
        return HandlerAction::Answer(bad_request());
    }
    let now_ms = clock::unix_ms();
    let mut state = clock::lock(state);
    if state.faults.take_request_loss() {
        return HandlerAction::Close;
    }
    let reply = state.table.transact(&request);
    match reply {
        wire::TransactionReply::Conflict { .. } => state.counters.conflicts.add(1, now_ms),
        wire::TransactionReply::Committed { .. } => {
            state.counters.transactions.add(1, now_ms);
            let rows = request.changes.len() as u64;
            state.counters.rows_written.add(rows, now_ms);
            if state.faults.take_answer_loss() {
                return HandlerAction::Close;
            }
        }
    }
    HandlerAction::Answer(server::json_answer(StatusCode::OK, &reply))
}

async fn read(state: &SharedState, body: Incoming) -> Option<Response<AnswerBody>> {
    let request = server::read_json::<wire::ReadRequest>(body).await?;
    let rows = clock::lock(state).table.read(&request);
    Some(answer_rows(state, &rows))
}

async fn scan(state: &SharedState, body: Incoming) -> Option<Response<AnswerBody>> {
    let request = server::read_json::<wire::ScanRequest>(body).await?;
    let rows = clock::lock(state).table.scan(&request);
    Some(answer_rows(state, &rows))
}

fn answer_rows(state: &SharedState, list: &wire::RowList) -> Response<AnswerBody> {
    let now_ms = clock::unix_ms();
    let mut state = clock::lock(state);
    state.counters.reads.add(1, now_ms);
    state.counters.rows_read.add(list.rows.len() as u64, now_ms);
    server::json_answer(StatusCode::OK, list)
}

async fn put_object(
    state: &SharedState,
    name: &str,
    body: Incoming,
) -> Option<Response<AnswerBody>> {
    let body = server::read_bytes(body).await?;
    let now_ms = clock::unix_ms();
    let mut state = clock::lock(state);
    let status = match state.objects.put(name, body) {
        PutOutcome::Stored => {
            state.counters.object_writes.add(1, now_ms);
            StatusCode::CREATED
        }
        PutOutcome::Exists => StatusCode::CONFLICT,
    };
    Some(server::empty_answer(status))
}

fn get_object(state: &SharedState, name: &str) -> Response<AnswerBody> {
    let mut state = clock::lock(state);
    state.counters.object_reads.add(1, clock::unix_ms());
    match state.objects.get(name) {
        Some(body) => server::bytes_answer(StatusCode::OK, body),
        None => server::empty_answer(StatusCode::NOT_FOUND),
    }
}

async fn list_objects(state: &SharedState, body: Incoming) -> Option<Response<AnswerBody>> {
    let request = server::read_json::<wire::ObjectListRequest>(body).await?;
    let mut state = clock::lock(state);
    state.counters.object_reads.add(1, clock::unix_ms());
    let list = state.objects.list(&request);
    Some(server::json_answer(StatusCode::OK, &list))
}

fn list_vms(state: &SharedState, known_tag: Option<&header::HeaderValue>) -> Response<AnswerBody> {
    let now_ms = clock::unix_ms();
    let mut state = clock::lock(state);
    state.counters.vm_list_reads.add(1, now_ms);
    let list = state.vms.list(now_ms);
    let tag = state.vms.entity_tag();
    let is_known = known_tag.is_some_and(|known| known.as_bytes() == tag.as_bytes());
    let mut answer = if is_known {
        server::empty_answer(StatusCode::NOT_MODIFIED)
    } else {
        server::json_answer(StatusCode::OK, &list)
    };
    if let Ok(value) = header::HeaderValue::from_str(&tag) {
        answer.headers_mut().insert(header::ETAG, value);
    }
    answer
}

fn bad_request() -> Response<AnswerBody> {
    server::empty_answer(StatusCode::BAD_REQUEST)
}
