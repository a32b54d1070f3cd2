//! Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::http;
use crate::http::Request;
use crate::record::Record;

/// `row_bytes`, `tx_ms` and the limits of a call, as the pages give them.
pub const ROW_BYTES: usize = 65_536;
const TX_TIME: Duration = Duration::from_millis(5);
const CALL_ENTRIES: usize = 100;
const CALL_BYTES: usize = 1 << 20;
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
const ANSWER_TIME: Duration = Duration::from_millis(2);

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    /// Version, row and value of each change; no value for a removed row.
    history: Vec<(u64, Key, Option<String>)>,
    refused: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Notify,
    parts: Mutex<HashMap<String, Arc<tokio::sync::Mutex<()>>>>,
    record: Arc<Record>,
    started_at: Instant,
}

impl Store {
    pub async fn start(record: Arc<Record>) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Notify::new(),
            parts: Mutex::default(),
            record,
            started_at: Instant::now(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = served.clone();
                tokio::spawn(http::serve(stream, move |request| {
                    let store = store.clone();
                    async move { store.handle(&request).await }
                }));
            }
        });
        (store, address)
    }

    /// Writes a row of `op` or `servers`, as the operator or a minion does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = STANDARD.encode(value.to_string());
        let mut rows = self.rows.lock().expect("not poisoned");
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert(key.clone(), (value.clone(), version));
        rows.history.push((version, key, Some(value)));
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Removes such a row.
    pub fn drop_row(&self, table: &str, key: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().expect("not poisoned");
        if rows.rows.remove(&key).is_some() {
            rows.version += 1;
            let version = rows.version;
            rows.history.push((version, key, None));
        }
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Number of transactions refused because of their size.
    pub fn refused(&self) -> u64 {
        self.rows.lock().expect("not poisoned").refused
    }

    async fn handle(&self, request: &Request) -> Option<(u16, Value)> {
        tokio::time::sleep(ANSWER_TIME).await;
        match request.path.as_str() {
            "/rows-tx" => Some(self.transaction(request).await),
            "/rows-get" => Some(self.read(request)),
            "/rows-feed" => Some(self.feed(request).await),
            _ => Some((404, Value::Null)),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Why a transaction is refused: it exceeds a limit or writes a table of others.
    fn fault(request: &Request, body: &Value) -> Option<(u16, String)> {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expected, write, remove) = (list("expected_revision"), list("write"), list("remove"));
        let entries = expected.len() + write.len() + remove.len();
        if entries > CALL_ENTRIES || request.body.len() > CALL_BYTES {
            return Some((
                400,
                format!("{entries} entries, {} bytes", request.body.len()),
            ));
        }
        for entry in write.iter().chain(&remove) {
            if entry["table"] == "op" || entry["table"] == "servers" {
                return Some((403, entry["table"].to_string()));
            }
        }
        for entry in &write {
            let value = STANDARD.decode(entry["value"].as_str().unwrap_or_default());
            let length = value.map_or(usize::MAX, |value| value.len());
            if length > ROW_BYTES {
                let (table, key) = (&entry["table"], &entry["key"]);
                return Some((400, format!("row {table} {key} has {length} bytes")));
            }
        }
        None
    }

    async fn transaction(&self, request: &Request) -> (u16, Value) {
        let body = request.json();
        if let Some((status, fault)) = Self::fault(request, &body) {
            let mut rows = self.rows.lock().expect("not poisoned");
            rows.refused += 1;
            if rows.refused <= 5 || rows.refused.is_multiple_of(100) {
                let count = rows.refused;
                self.record.line(&format!(
                    "store refuses a write with {status}: {fault} ({count})"
                ));
            }
            return (status, json!({"error": fault}));
        }
        let lists = ["write", "remove", "expected_revision"];
        let part = lists.iter().find_map(|name| body[name][0]["part"].as_str());
        let part = part.unwrap_or_default().to_owned();
        let lock = {
            let mut parts = self.parts.lock().expect("not poisoned");
            parts.entry(part).or_default().clone()
        };
        let _turn = lock.lock().await;
        tokio::time::sleep(TX_TIME).await;
        let answer = self.apply(&body);
        self.changed.notify_waiters();
        answer
    }

    fn apply(&self, body: &Value) -> (u16, Value) {
        let none = Vec::new();
        let list = |name: &str| body[name].as_array().unwrap_or(&none);
        let now_ms = self.now_ms();
        let mut rows = self.rows.lock().expect("not poisoned");
        let expected = list("expected_revision");
        let present = |rows: &Rows, key: &Key| rows.rows.get(key).map_or(0, |row| row.1);
        let holds = expected
            .iter()
            .all(|entry| present(&rows, &key_of(entry)) == entry["ver"].as_u64().unwrap_or(0));
        if !holds {
            let current = expected.iter().map(|entry| {
                let key = key_of(entry);
                let row = rows.rows.get(&key).cloned().unwrap_or_default();
                row_json(&key, &row)
            });
            let current: Vec<Value> = current.collect();
            return (
                412,
                json!({"rows": current, "ver": rows.version, "now_ms": now_ms}),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for entry in list("write") {
            let value = entry["value"].as_str().unwrap_or_default().to_owned();
            rows.rows.insert(key_of(entry), (value.clone(), version));
            rows.history.push((version, key_of(entry), Some(value)));
        }
        for entry in list("remove") {
            if rows.rows.remove(&key_of(entry)).is_some() {
                rows.history.push((version, key_of(entry), None));
            }
        }
        (200, json!({"ver": version, "now_ms": now_ms}))
    }

    fn read(&self, request: &Request) -> (u16, Value) {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query.get("to"));
        let limit = match request.query_number("limit") as usize {
            0 => PAGE_ROWS,
            limit => limit.min(PAGE_ROWS),
        };
        let rows = self.rows.lock().expect("not poisoned");
        let (mut page, mut bytes, mut more) = (Vec::new(), 0, false);
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        for (key, row) in rows.rows.range(first..) {
            if key.0 != table || key.1 != part || to.is_some_and(|to| key.2 >= *to) {
                break;
            }
            bytes += row.0.len();
            if page.len() >= limit || (bytes > PAGE_BYTES && !page.is_empty()) {
                more = true;
                break;
            }
            page.push(row_json(key, row));
        }
        let answer =
            json!({"rows": page, "has_more": more, "ver": rows.version, "now_ms": self.now_ms()});
        (200, answer)
    }

    async fn feed(&self, request: &Request) -> (u16, Value) {
        let (table, after) = (request.query("table"), request.query_number("depends_on"));
        let wait = Duration::from_millis(request.query_number("wait_ms").min(30_000));
        let end = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let rows = self.rows.lock().expect("not poisoned");
                let from = rows.history.partition_point(|change| change.0 <= after);
                let changes = rows.history[from..].iter();
                let changes = changes.filter(|change| change.1.0 == table);
                let changes: Vec<Value> = changes
                    .map(|(version, key, value)| match value {
                        Some(value) => row_json(key, &(value.clone(), *version)),
                        None => json!({"table": key.0, "part": key.1, "key": key.2,
                            "ver": version, "deleted": true}),
                    })
                    .collect();
                if !changes.is_empty() || tokio::time::Instant::now() >= end {
                    let answer =
                        json!({"rows": changes, "ver": rows.version, "now_ms": self.now_ms()});
                    return (200, answer);
                }
            }
            let _changed_or_over = tokio::time::timeout_at(end, changed).await;
        }
    }
}

fn key_of(entry: &Value) -> Key {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json(key: &Key, row: &(String, u64)) -> Value {
    json!({"table": key.0, "part": key.1, "key": key.2, "value": row.0, "ver": row.1})
}
