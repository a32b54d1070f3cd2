//! Clients that send more than they should, or less than they announce, and stay connected.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task;

/// How long clients may write. A client whose server has stopped reading is blocked for longer.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Interval between polls of the number of clients that have written everything.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Most bytes of one write.
const WRITE_BYTES: usize = 65_536;
/// Pieces into which a body is cut.
const BODY_PIECES: usize = 16;
/// Pause between two pieces of a body, and between two empty lines.
const PIECE_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Fields of a head that has too many.
const HEAD_FIELDS: usize = 1_500;
/// Length of one of many fields.
const FIELD_BYTES: usize = 250;
/// Length of a single field, and of all empty lines.
const FLOOD_BYTES: usize = 400_000;
/// Length of the field of a head that is too long but complete.
const LONG_FIELD_BYTES: usize = 300_000;

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrowdKind {
    /// Nothing.
    Idle,
    /// A complete request whose head is too long.
    LongHead,
    /// A head of many fields that doesn't end.
    EndlessFields,
    /// A head with one field that doesn't end.
    EndlessField,
    /// Empty lines instead of a request.
    EmptyLines,
    /// An empty line at a time, until disconnected.
    EmptyLineDrip,
    /// A complete request.
    WholeBody,
    /// A request whose body lacks its last byte.
    ShortBody,
    /// The same, in pieces with pauses between them.
    ShortBodyPieces,
    /// A chunked body of one large chunk that lacks its last byte.
    ShortLargeChunk,
    /// A chunked body of one-byte chunks that doesn't end.
    ShortSmallChunks,
}

/// Where a crowd connects and what it requests.
#[derive(Clone, Debug)]
pub struct CrowdTarget {
    pub address: net::SocketAddr,
    /// Path of the requests. The number of the client, in 16 hexadecimal digits, replaces `{}`.
    pub path: String,
    /// Complete lines of the head besides those that the kind of crowd determines.
    pub fields: String,
    /// Body of a complete request. Other kinds only use its length.
    pub body: Vec<u8>,
}

/// Clients that stay connected until dropped.
#[derive(Debug)]
pub struct ClientCrowd {
    clients: task::JoinSet<()>,
}

/// What a client writes.
struct ClientScript {
    pieces: Vec<Vec<u8>>,
    pause: time::Duration,
    /// The last piece is repeated until the connection ends.
    repeats: bool,
}

impl ClientCrowd {
    /// Connects `clients` clients, and waits until each has written all that its server accepts.
    pub async fn gather(target: &CrowdTarget, kind: CrowdKind, clients: usize) -> Self {
        let finished = sync::Arc::new(atomic::AtomicUsize::new(0));
        let mut crowd = Self {
            clients: task::JoinSet::new(),
        };
        for number in 0..clients {
            let script = target.script(kind, number);
            let (address, finished) = (target.address, finished.clone());
            crowd.clients.spawn(async move {
                run_client(address, script, &finished).await;
            });
        }
        let deadline = time::Instant::now() + WRITE_TIMEOUT;
        while finished.load(atomic::Ordering::Relaxed) < clients && time::Instant::now() < deadline
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        crowd
    }
}

impl CrowdTarget {
    fn script(&self, kind: CrowdKind, number: usize) -> ClientScript {
        let body = &self.body[..];
        let short = &body[..body.len().saturating_sub(1)];
        let length = format!("content-length: {}\r\n\r\n", body.len());
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        let post = |rest: &[&[u8]]| {
            let mut bytes = self.head("POST", number);
            rest.iter().for_each(|part| bytes.extend_from_slice(part));
            bytes
        };
        let mut script = ClientScript {
            pieces: Vec::new(),
            pause: time::Duration::ZERO,
            repeats: false,
        };
        match kind {
            CrowdKind::Idle => {}
            CrowdKind::LongHead => {
                let mut bytes = self.head("GET", number);
                bytes.extend_from_slice(b"x-long: ");
                bytes.resize(bytes.len() + LONG_FIELD_BYTES, b'x');
                bytes.extend_from_slice(b"\r\n\r\n");
                script.pieces.push(bytes);
            }
            CrowdKind::EndlessFields => {
                let mut bytes = self.head("GET", number);
                for field in 0..HEAD_FIELDS {
                    let start = format!("x-field-{field}: ");
                    bytes.extend_from_slice(start.as_bytes());
                    bytes.resize(bytes.len() + FIELD_BYTES - start.len() - 2, b'x');
                    bytes.extend_from_slice(b"\r\n");
                }
                script.pieces.push(bytes);
            }
            CrowdKind::EndlessField => {
                let mut bytes = self.head("GET", number);
                bytes.extend_from_slice(b"x-endless: ");
                bytes.resize(bytes.len() + FLOOD_BYTES, b'x');
                script.pieces.push(bytes);
            }
            CrowdKind::EmptyLines => script.pieces.push(b"\r\n".repeat(FLOOD_BYTES / 2)),
            CrowdKind::EmptyLineDrip => {
                script.pieces.push(b"\r\n".to_vec());
                script.pause = PIECE_PAUSE;
                script.repeats = true;
            }
            CrowdKind::WholeBody => script.pieces.push(post(&[length.as_bytes(), body])),
            CrowdKind::ShortBody => script.pieces.push(post(&[length.as_bytes(), short])),
            CrowdKind::ShortBodyPieces => {
                script.pieces.push(post(&[length.as_bytes()]));
                let pieces = short.chunks(short.len().div_ceil(BODY_PIECES));
                script.pieces.extend(pieces.map(<[u8]>::to_vec));
                script.pause = PIECE_PAUSE;
            }
            CrowdKind::ShortLargeChunk => {
                let size = format!("{:x}\r\n", body.len());
                script
                    .pieces
                    .push(post(&[chunked.as_bytes(), size.as_bytes(), short]));
            }
            CrowdKind::ShortSmallChunks => {
                let chunks = b"1\r\nx\r\n".repeat(body.len());
                script.pieces.push(post(&[chunked.as_bytes(), &chunks]));
            }
        }
        script
    }

    /// The request line and the fields of the target.
    fn head(&self, method: &str, number: usize) -> Vec<u8> {
        let path = self.path.replace("{}", &format!("{number:016x}"));
        format!("{method} {path} HTTP/1.1\r\n{}", self.fields).into_bytes()
    }
}

/// Writes the script and then only reads until the server closes the connection.
async fn run_client(
    address: net::SocketAddr,
    script: ClientScript,
    finished: &atomic::AtomicUsize,
) {
    let Ok(stream) = TcpStream::connect(address).await else {
        finished.fetch_add(1, atomic::Ordering::Relaxed);
        return;
    };
    let (mut reader, mut writer) = stream.into_split();
    let reading = async {
        let mut answer = vec![0; WRITE_BYTES];
        while reader.read(&mut answer).await.is_ok_and(|read| read > 0) {}
    };
    let writing = async {
        // A server may close the connection at any time.
        let _closed = write_script(&mut writer, &script).await;
        finished.fetch_add(1, atomic::Ordering::Relaxed);
        if script.repeats {
            while let (Some(last), Ok(())) = (script.pieces.last(), writer.writable().await) {
                tokio::time::sleep(script.pause).await;
                if writer.write_all(last).await.is_err() {
                    return;
                }
            }
        }
    };
    tokio::join!(reading, writing);
}

async fn write_script(writer: &mut OwnedWriteHalf, script: &ClientScript) -> io::Result<()> {
    for piece in &script.pieces {
        for bytes in piece.chunks(WRITE_BYTES) {
            writer.write_all(bytes).await?;
        }
        tokio::time::sleep(script.pause).await;
    }
    Ok(())
}
