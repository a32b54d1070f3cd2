//! Stand-in of the platform's store: rows, transactions, ranges and feeds as PROTOCOL.md describes
//! them. Single partitions can be made unavailable.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::http::Server;

/// Duration of a transaction (`tx_ms`).
const TRANSACTION: Duration = Duration::from_millis(5);
/// Duration of any other call.
const CALL: Duration = Duration::from_millis(4);
const MOST_ENTRIES: usize = 100;
const MOST_BYTES: usize = 1_000_000;
const ROW_BYTES: usize = 65_536;
const PAGE_ROWS: usize = 500;

type RowKey = (String, String, String);

#[derive(Default)]
struct StoreState {
    version: u64,
    /// Value in base64 and version of each row.
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Versions at which rows were deleted.
    deleted: BTreeMap<RowKey, u64>,
    /// Table and partition of those that are unavailable.
    unavailable: BTreeSet<(String, String)>,
    /// Number of calls that were answered with 503.
    refused: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    server: Server,
}

impl Store {
    pub fn start() -> std::io::Result<Arc<Self>> {
        let state = Arc::new((Mutex::new(StoreState::default()), Condvar::new()));
        let shared = state.clone();
        let begun = Instant::now();
        let server = Server::open(http::any_address(), move |request| {
            handle(&shared, begun, request)
        })?;
        Ok(Arc::new(Self {
            address: server.address,
            state,
            server,
        }))
    }

    /// Writes a row of the unnamed partition, as the operator and workers do.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.deleted.remove(&key);
        state
            .rows
            .insert(key, (STANDARD.encode(value.to_string()), version));
        changed.notify_all();
    }

    /// Removes a row of the unnamed partition, as the platform does with a worker's entry.
    pub fn remove(&self, table: &str, key: &str) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let key = (table.to_owned(), String::new(), key.to_owned());
        if state.rows.remove(&key).is_some() {
            state.version += 1;
            let version = state.version;
            state.deleted.insert(key, version);
            changed.notify_all();
        }
    }

    /// Makes partitions of a table unavailable: calls that name them get 503, nothing is done.
    pub fn set_unavailable(&self, table: &str, parts: &[String]) {
        let mut state = self.state.0.lock().unwrap();
        state.unavailable = parts
            .iter()
            .map(|part| (table.to_owned(), part.clone()))
            .collect();
    }

    /// Makes all open connections to the store silent for good.
    pub fn silence(&self) {
        self.server.silence();
    }

    pub fn refused(&self) -> u64 {
        self.state.0.lock().unwrap().refused
    }
}

fn handle(state: &(Mutex<StoreState>, Condvar), begun: Instant, request: &Request) -> Answer {
    let (lock, changed) = state;
    let now_ms = || u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
    let answer = match request.path.as_str() {
        "/rows-tx" => {
            thread::sleep(TRANSACTION);
            let answer = change(&mut lock.lock().unwrap(), &request.body);
            changed.notify_all();
            answer
        }
        "/rows-get" => {
            thread::sleep(CALL);
            read(&mut lock.lock().unwrap(), request)
        }
        "/rows-feed" => feed(lock, changed, request),
        _ => (404, Value::Null),
    };
    let (status, mut body) = answer;
    if body.is_object() {
        body["now_ms"] = json!(now_ms());
    }
    Some((status, body))
}

fn row_key(entry: &Value) -> RowKey {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn is_unavailable(state: &mut StoreState, keys: &[RowKey]) -> bool {
    let hit = keys
        .iter()
        .any(|key| state.unavailable.contains(&(key.0.clone(), key.1.clone())));
    state.refused += u64::from(hit);
    hit
}

fn change(state: &mut StoreState, body: &Value) -> (u16, Value) {
    let none = Vec::new();
    let list = |name: &str| body[name].as_array().unwrap_or(&none);
    let (expected, written, removed) = (list("expected_revision"), list("write"), list("remove"));
    let entries = expected.iter().chain(written).chain(removed);
    let keys: Vec<RowKey> = entries.map(row_key).collect();
    let is_large = written
        .iter()
        .any(|entry| entry["value"].as_str().unwrap_or_default().len() / 4 * 3 > ROW_BYTES);
    let parts: BTreeSet<&String> = keys.iter().map(|key| &key.1).collect();
    if keys.len() > MOST_ENTRIES
        || is_large
        || body.to_string().len() > MOST_BYTES
        || parts.len() > 1
    {
        return (400, Value::Null);
    }
    let is_foreign = |entry: &&Value| matches!(row_key(entry).0.as_str(), "op" | "servers");
    if written
        .iter()
        .chain(removed)
        .any(|entry| is_foreign(&entry))
    {
        return (403, Value::Null);
    }
    if is_unavailable(state, &keys) {
        return (503, Value::Null);
    }
    let version_of = |key: &RowKey| state.rows.get(key).map_or(0, |row| row.1);
    let fits = expected
        .iter()
        .all(|entry| entry["ver"].as_u64().unwrap_or(0) == version_of(&row_key(entry)));
    if !fits {
        let rows: Vec<Value> = expected
            .iter()
            .map(|entry| {
                let key = row_key(entry);
                let row = state.rows.get(&key).cloned().unwrap_or_default();
                row_json(&key, &row)
            })
            .collect();
        return (412, json!({"rows": rows, "ver": state.version}));
    }
    state.version += 1;
    let version = state.version;
    for entry in written {
        let value = entry["value"].as_str().unwrap_or_default().to_owned();
        state.deleted.remove(&row_key(entry));
        state.rows.insert(row_key(entry), (value, version));
    }
    for entry in removed {
        if state.rows.remove(&row_key(entry)).is_some() {
            state.deleted.insert(row_key(entry), version);
        }
    }
    (200, json!({"ver": version}))
}

fn row_json(key: &RowKey, row: &(String, u64)) -> Value {
    json!({"table": key.0, "part": key.1, "key": key.2, "value": row.0, "ver": row.1})
}

fn read(state: &mut StoreState, request: &Request) -> (u16, Value) {
    let text = |name: &str| request.query_value(name).unwrap_or_default().to_owned();
    let first = (text("table"), text("part"), text("from"));
    if is_unavailable(state, std::slice::from_ref(&first)) {
        return (503, Value::Null);
    }
    let to = request.query_value("to");
    let limit = request.query_value("limit");
    let limit = limit.and_then(|limit| limit.parse().ok());
    let limit = limit.unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
    let in_range = |key: &RowKey| {
        key.0 == first.0 && key.1 == first.1 && to.is_none_or(|to| key.2.as_str() < to)
    };
    let mut rows: Vec<Value> = state
        .rows
        .range(first.clone()..)
        .take_while(|(key, _)| in_range(key))
        .take(limit + 1)
        .map(|(key, row)| row_json(key, row))
        .collect();
    let has_more = rows.len() > limit;
    rows.truncate(limit);
    (
        200,
        json!({"rows": rows, "has_more": has_more, "ver": state.version}),
    )
}

fn feed(lock: &Mutex<StoreState>, changed: &Condvar, request: &Request) -> (u16, Value) {
    let number = |name: &str| {
        let value = request.query_value(name);
        value
            .and_then(|value| value.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let table = request.query_value("table").unwrap_or_default();
    let after = number("depends_on");
    let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
    thread::sleep(CALL);
    let mut state = lock.lock().unwrap();
    loop {
        let rows = changes_after(&state, table, after);
        let now = Instant::now();
        if !rows.is_empty() || now >= end {
            return (200, json!({"rows": rows, "ver": state.version}));
        }
        state = changed.wait_timeout(state, end - now).unwrap().0;
    }
}

fn changes_after(state: &StoreState, table: &str, after: u64) -> Vec<Value> {
    let rows = state.rows.iter();
    let rows = rows.filter(|(key, row)| key.0 == table && row.1 > after);
    let mut changes: Vec<(u64, Value)> =
        rows.map(|(key, row)| (row.1, row_json(key, row))).collect();
    let deleted = state.deleted.iter();
    let deleted = deleted.filter(|(key, version)| key.0 == table && **version > after);
    changes.extend(deleted.map(|(key, version)| {
        let mut row = row_json(key, &(String::new(), *version));
        row["deleted"] = json!(true);
        (*version, row)
    }));
    changes.sort_by_key(|(version, _)| *version);
    changes.into_iter().map(|(_, row)| row).collect()
}
