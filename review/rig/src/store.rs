//! The platform's row store: linearizable, with the limits that the pages state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http::Answer;
use crate::http::Request;
use crate::http::Server;

/// Time that a transaction takes in its part.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
/// Most entries of a transaction.
const MOST_ENTRIES: usize = 100;
/// Most bytes of a transaction, and of a page of rows.
const MOST_BYTES: usize = 1 << 20;
/// Most bytes of a row's value.
const ROW_BYTES: usize = 65_536;
/// Most rows of a page.
const PAGE_ROWS: usize = 500;

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value in base64 and version; no value for a deleted row.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
    /// When the queued transactions of a part are done.
    busy_until: BTreeMap<String, Instant>,
}

/// A transaction that was refused because it breaks a limit.
#[derive(Clone, Debug)]
pub struct RefusedCall {
    pub at: Instant,
    pub bytes: usize,
    pub entries: usize,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started_at: Instant,
    /// Transactions over a limit.
    pub refused: Mutex<Vec<RefusedCall>>,
    /// Accepted transactions with a row of the leader, and the size of the largest call.
    pub leader_writes: Mutex<(u64, usize, Option<Instant>)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> (Arc<Self>, Server) {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            refused: Mutex::default(),
            leader_writes: Mutex::default(),
        });
        let shared = store.clone();
        let server = Server::start(
            address,
            Arc::new(move |request: &Request| shared.handle(request)),
        );
        (store, server.expect("a loopback address for the store"))
    }

    /// Writes a row as the operator or a worker does; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let text = value.map(|value| base64(value.to_string().as_bytes()));
        rows.rows.insert(
            (table.to_owned(), String::new(), key.to_owned()),
            (text, version),
        );
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn handle(&self, request: &Request) -> Answer {
        match request.path.as_str() {
            "/rows-tx" => self.change(request),
            "/rows-get" => self.read(request),
            "/rows-feed" => self.feed(request),
            _ => Answer::Json(404, Value::Null),
        }
    }

    fn change(&self, request: &Request) -> Answer {
        let body = request.json();
        let none = Vec::new();
        let list = |name: &str| body[name].as_array().unwrap_or(&none);
        let all = || {
            ["expected_revision", "write", "remove"]
                .into_iter()
                .flat_map(list)
        };
        let entries = all().count();
        let part = all()
            .next()
            .map_or("", |entry| entry["part"].as_str().unwrap_or_default());
        let too_long = list("write").iter().any(|entry| {
            entry["value"]
                .as_str()
                .is_some_and(|value| value.len() / 4 * 3 > ROW_BYTES + 2)
        });
        if entries > MOST_ENTRIES || request.body.len() > MOST_BYTES || too_long {
            self.refused.lock().unwrap().push(RefusedCall {
                at: Instant::now(),
                bytes: request.body.len(),
                entries,
            });
            return Answer::Json(400, Value::Null);
        }
        if all().any(|entry| entry["part"].as_str().unwrap_or_default() != part) {
            return Answer::Json(400, Value::Null);
        }
        if list("write")
            .iter()
            .chain(list("remove"))
            .any(|entry| entry["table"] == "op" || entry["table"] == "servers")
        {
            return Answer::Json(403, Value::Null);
        }
        let done_at = {
            let mut rows = self.rows.lock().unwrap();
            let now = Instant::now();
            let busy = rows.busy_until.entry(part.to_owned()).or_insert(now);
            let begin = (*busy).max(now);
            if begin - now > Duration::from_secs(1) {
                return Answer::Json(429, Value::Null);
            }
            *busy = begin + TRANSACTION_TIME;
            *busy
        };
        std::thread::sleep(done_at.saturating_duration_since(Instant::now()));
        let key = |entry: &Value| -> RowKey {
            let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, key: &RowKey| {
            rows.rows
                .get(key)
                .filter(|row| row.0.is_some())
                .map_or(0, |row| row.1)
        };
        let expected = list("expected_revision");
        let holds =
            |entry: &Value| entry["ver"].as_u64().unwrap_or(0) == version_of(&rows, &key(entry));
        if !expected.iter().all(holds) {
            let present = expected.iter().map(|entry| {
                let key = key(entry);
                let value = rows.rows.get(&key).and_then(|row| row.0.clone()).unwrap_or_default();
                json!({"table": key.0, "part": key.1, "key": key.2, "value": value, "ver": version_of(&rows, &key)})
            });
            let present: Vec<Value> = present.collect();
            return Answer::Json(
                412,
                json!({"rows": present, "ver": rows.version, "now_ms": self.now_ms()}),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for entry in list("write") {
            let value = entry["value"].as_str().unwrap_or_default().to_owned();
            rows.rows.insert(key(entry), (Some(value), version));
        }
        for entry in list("remove") {
            rows.rows.insert(key(entry), (None, version));
        }
        if part == "leader" {
            let mut writes = self.leader_writes.lock().unwrap();
            *writes = (
                writes.0 + 1,
                writes.1.max(request.body.len()),
                Some(Instant::now()),
            );
        }
        self.changed.notify_all();
        Answer::Json(200, json!({"ver": version, "now_ms": self.now_ms()}))
    }

    fn read(&self, request: &Request) -> Answer {
        let table = request.query("table").unwrap_or_default();
        let part = request.query("part").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let to = request.query("to").unwrap_or("\u{10ffff}");
        let limit = request
            .query("limit")
            .and_then(|limit| limit.parse().ok())
            .unwrap_or(PAGE_ROWS);
        let rows = self.rows.lock().unwrap();
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        let (mut page, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (value, version)) in rows.rows.range(start..) {
            if key.0 != table || key.1 != part || key.2.as_str() >= to {
                break;
            }
            let Some(value) = value else { continue };
            if page.len() >= limit.min(PAGE_ROWS)
                || (bytes + value.len() > MOST_BYTES && !page.is_empty())
            {
                has_more = true;
                break;
            }
            bytes += value.len() + 100;
            page.push(row_json(key, value, *version));
        }
        Answer::Json(
            200,
            json!({"rows": page, "has_more": has_more, "ver": rows.version, "now_ms": self.now_ms()}),
        )
    }

    fn feed(&self, request: &Request) -> Answer {
        let table = request.query("table").unwrap_or_default();
        let after = request.query_number("depends_on");
        let end =
            Instant::now() + Duration::from_millis(request.query_number("wait_ms").min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<(u64, Value)> = Vec::new();
            for (key, (value, version)) in &rows.rows {
                if key.0 != table || *version <= after {
                    continue;
                }
                let row = match value {
                    Some(value) => row_json(key, value, *version),
                    None => {
                        json!({"table": key.0, "part": key.1, "key": key.2, "ver": version, "deleted": true})
                    }
                };
                found.push((*version, row));
            }
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(version, _)| *version);
                let has_more = found.len() > PAGE_ROWS;
                found.truncate(PAGE_ROWS);
                let last = found.last().map(|(version, _)| *version);
                let version = if has_more {
                    last.unwrap_or(after)
                } else {
                    rows.version
                };
                let page: Vec<Value> = found.into_iter().map(|(_, row)| row).collect();
                return Answer::Json(
                    200,
                    json!({"rows": page, "has_more": has_more, "ver": version, "now_ms": self.now_ms()}),
                );
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn row_json(key: &RowKey, value: &str, version: u64) -> Value {
    json!({"table": key.0, "part": key.1, "key": key.2, "value": value, "ver": version})
}

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
