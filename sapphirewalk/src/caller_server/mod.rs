//! Limits of the HTTP servers that callers can reach.

use hyper::server::conn::http1;

/// Longest head of a request, in bytes. The HTTP library answers a longer one with 431.
const HEAD_BYTES: usize = 16_384;

/// A builder of server connections whose read buffers are limited. Without a limit, a head or empty
/// lines before it fill a buffer of 400 KB for each connection.
pub fn connection_builder() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HEAD_BYTES);
    builder
}
