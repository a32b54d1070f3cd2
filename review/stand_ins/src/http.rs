//! A small blocking HTTP/1.1 server and client on loopback, one thread for each connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// A loopback address that differs between cases, with port 0, so that those that run at the same
/// time don't take each other's ports.
pub fn any_address() -> SocketAddr {
    let [_, high, low, lowest] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, high.wrapping_add(low).max(1), lowest, 1);
    SocketAddr::from((address, 0))
}

/// A request as the stand-ins see it.
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    /// Value of `X-Sapphirewalk-Expect-Instance`; empty if absent.
    pub expected_instance: String,
    pub body: Value,
}

impl Request {
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Status and body of an answer; `None` closes the connection without one.
pub type Answer = Option<(u16, Value)>;

/// A listening socket with its open connections. Closing it ends all of them.
pub struct Server {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Connections with a lower number are silent.
    first_live: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
}

impl Server {
    /// Listens on an address; port 0 takes a free one.
    pub fn open(
        address: SocketAddr,
        handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let handler = Arc::new(handler);
        let (first_live, opened) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (shared_live, shared_opened) = (first_live.clone(), opened.clone());
        let (shared_closed, shared_streams) = (closed.clone(), streams.clone());
        thread::spawn(move || {
            while !shared_closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _blocking = stream.set_nonblocking(false);
                let _nodelay = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    shared_streams.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                let closed = shared_closed.clone();
                let number = shared_opened.fetch_add(1, Ordering::SeqCst);
                let first_live = shared_live.clone();
                thread::spawn(move || {
                    let is_silent = || number < first_live.load(Ordering::SeqCst);
                    serve_connection(stream, &*handler, &closed, &is_silent);
                });
            }
        });
        Ok(Self {
            address,
            closed,
            streams,
            first_live,
            opened,
        })
    }

    /// Makes all open connections silent for good, without a reset. New ones work.
    pub fn silence(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.first_live.store(opened, Ordering::SeqCst);
    }

    /// Closes the listener and all connections, as when the process behind them is killed.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ended = stream.shutdown(Shutdown::Both);
        }
        // The accepting thread drops the listener within a few ms.
        thread::sleep(Duration::from_millis(10));
    }
}

fn serve_connection(
    stream: TcpStream,
    handler: &(dyn Fn(&Request) -> Answer + Send + Sync),
    closed: &AtomicBool,
    is_silent: &dyn Fn() -> bool,
) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if closed.load(Ordering::SeqCst) {
            return;
        }
        let answer = if is_silent() { None } else { handler(&request) };
        if is_silent() {
            // What is sent here reaches nobody, and nothing comes back.
            while !closed.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(200));
            }
            return;
        }
        let Some((status, body)) = answer else {
            let _ended = writer.shutdown(Shutdown::Both);
            return;
        };
        if closed.load(Ordering::SeqCst) {
            return;
        }
        let text = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let head = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            text.len()
        );
        if writer.write_all((head + &text).as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a head and a body. The first line is returned as it is, the names of the fields in lower
/// case.
fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = fields.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), fields, body))
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, fields, body) = read_message(reader)?;
    let target = first.split(' ').nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        Some((decode_text(name), decode_text(value)))
    });
    let instance = fields
        .iter()
        .find(|(name, _)| name == "x-sapphirewalk-expect-instance");
    Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        expected_instance: instance.map_or_else(String::new, |(_, value)| value.clone()),
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    })
}

/// Decodes a form-encoded text.
fn decode_text(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let code = text
            .get(index + 1..index + 3)
            .filter(|_| bytes[index] == b'%')
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        if let Some(code) = code {
            decoded.push(code);
            index += 3;
        } else {
            decoded.push(if bytes[index] == b'+' {
                b' '
            } else {
                bytes[index]
            });
            index += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends one request on a connection of its own. Returns status and body; status 0 if there is no
/// complete answer within the time that callers wait.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> (u16, Value) {
    exchange(address, method, host, path, body, wait).unwrap_or((0, Value::Null))
}

fn exchange(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> Option<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.set_nodelay(true).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         x-sapphirewalk-deadline-ms: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        wait.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}
