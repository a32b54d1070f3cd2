//! Minimal HTTP/1.1 server and client over blocking sockets, one thread for each connection.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// Stack of a connection's thread in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// A request as a server receives it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn query_number(&self, name: &str) -> u64 {
        self.query(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// What a server does with a request.
pub enum Answer {
    /// Status and JSON body.
    Json(u16, Value),
    /// No answer; the connection stays open and is silent for good.
    Silence,
}

pub type Handler = dyn Fn(&Request) -> Answer + Send + Sync;

/// A listening server. Dropping it closes its port and its connections.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Listens on an address; port 0 lets the system choose one.
    pub fn start(address: SocketAddr, handler: Arc<Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (flag, open) = (stopped.clone(), streams.clone());
        let accepting = thread::spawn(move || {
            while !flag.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _blocking = stream.set_nonblocking(false);
                        let _nodelay = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            let mut open = open.lock().unwrap();
                            if open.len() > 512 {
                                open.retain(|stream: &TcpStream| {
                                    stream.take_error().is_ok() && stream.peer_addr().is_ok()
                                });
                            }
                            open.push(copy);
                        }
                        let (handler, flag) = (handler.clone(), flag.clone());
                        let builder = thread::Builder::new().stack_size(STACK_BYTES);
                        let _spawned = builder.spawn(move || {
                            let shut = stream.try_clone();
                            let _ended = serve_connection(stream, &handler, &flag);
                            if let Ok(shut) = shut {
                                let _closed = shut.shutdown(std::net::Shutdown::Both);
                            }
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_micros(200)),
                }
            }
        });
        Ok(Self {
            address,
            stopped,
            streams,
            accepting: Some(accepting),
        })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ended = accepting.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _closed = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve_connection(
    stream: TcpStream,
    handler: &Arc<Handler>,
    stopped: &AtomicBool,
) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let Some(request) = read_request(&mut reader)? else {
            return Ok(());
        };
        let answer = handler(&request);
        if stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        match answer {
            Answer::Json(status, value) => {
                let body = if value.is_null() {
                    Vec::new()
                } else {
                    serde_json::to_vec(&value)?
                };
                let mut bytes = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                )
                .into_bytes();
                bytes.extend_from_slice(&body);
                writer.write_all(&bytes)?;
            }
            Answer::Silence => {
                // Reads until the peer closes, and answers nothing.
                let mut rest = [0; 4096];
                while reader.read(&mut rest)? > 0 {}
                return Ok(());
            }
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn body_length(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(name, _)| name == "content-length");
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (Some(_method), Some(target)) = (words.next(), words.next()) else {
        return Ok(None);
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs
        .map(|(key, value)| (decode(key), decode(value)))
        .collect();
    let path = decode(path);
    let headers = read_headers(reader)?;
    let mut body = vec![0; body_length(&headers)];
    reader.read_exact(&mut body)?;
    Ok(Some(Request {
        path,
        query,
        headers,
        body,
    }))
}

/// Decodes percent-encoded text.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                plain.push(code);
                at += 3;
                continue;
            }
            (b'+', _) => plain.push(b' '),
            (byte, _) => plain.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Sends a request on a new connection. Status 0 means that there was no complete answer.
pub fn call(
    address: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> (u16, Value) {
    exchange(address, host, method, path, body, wait).unwrap_or((0, Value::Null))
}

fn exchange(
    address: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> io::Result<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&address, wait)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\nconnection: close\r\nx-sapphirewalk-deadline-ms: {}\r\ncontent-length: {}\r\n\r\n",
        wait.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    let headers = read_headers(&mut reader)?;
    let mut bytes = vec![0; body_length(&headers)];
    reader.read_exact(&mut bytes)?;
    Ok((
        status,
        serde_json::from_slice(&bytes).unwrap_or(Value::Null),
    ))
}
