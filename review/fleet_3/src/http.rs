//! A minimal HTTP/1.1 server for the stand-ins and a client for callers.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longest head of a request or response.
const MAX_HEAD_BYTES: usize = 65_536;

/// A request as received.
#[derive(Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    /// Header names are in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn query(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    pub fn query_number(&self, name: &str) -> u64 {
        self.query(name).parse().unwrap_or(0)
    }
}

/// Serves one connection until it ends. If `handler` returns `None`, the connection is closed
/// without an answer.
pub async fn serve<F, R>(mut stream: TcpStream, handler: F)
where
    F: Fn(Request) -> R,
    R: Future<Output = Option<(u16, Value)>>,
{
    let _nodelay = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut buffer).await {
        let Some((status, body)) = handler(request).await else {
            return;
        };
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let answer = format!(
            "HTTP/1.1 {status} S\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(stream, buffer).await? else {
        return Ok(None);
    };
    let target = first.split(' ').nth(1).unwrap_or("/").to_owned();
    let body = read_body(stream, buffer, &headers).await?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode(value)));
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    }))
}

/// Reads a head. `None` if the connection was closed before it.
async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end;
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if !read_more(stream, buffer).await? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
    Ok(Some((first, headers.collect())))
}

async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    headers: &HashMap<String, String>,
) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if !read_more(stream, buffer).await? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buffer.drain(..length).collect())
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 16_384];
    let count = stream.read(&mut chunk).await?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends one request on a connection of its own. `None` if there is no answer in time.
pub async fn call(
    address: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n\
             content-type: application/json\r\nx-sapphirewalk-deadline-ms: {}\r\n\
             content-length: {}\r\n\r\n{body}",
            timeout.as_millis(),
            body.len()
        );
        stream.write_all(request.as_bytes()).await?;
        let mut buffer = Vec::new();
        let head = read_head(&mut stream, &mut buffer).await?;
        let (first, headers) = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let body = read_body(&mut stream, &mut buffer, &headers).await?;
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        io::Result::Ok((status.unwrap_or(0), body))
    };
    tokio::time::timeout(timeout, exchange).await.ok()?.ok()
}
