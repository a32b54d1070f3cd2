//! Format of stored objects: records as gzip-compressed JSON lines.

use std::io;
use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;

use crate::audit::record::AuditRecord;

/// First bytes of gzip data.
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];

/// Encodes a batch of records as the content of an object.
///
/// # Errors
///
/// If a record can't be serialised as JSON, which its types rule out.
pub fn encode(batch: &[AuditRecord]) -> io::Result<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    for record in batch {
        serde_json::to_writer(&mut encoder, record)?;
        encoder.write_all(b"\n")?;
    }
    encoder.finish()
}

/// Decodes the content of an object to JSON lines. Content that is not gzip data is returned
/// unchanged, since objects exported for an auditor are plain text.
///
/// # Errors
///
/// If the compressed data is damaged.
pub fn decode(body: &[u8]) -> io::Result<Vec<u8>> {
    if !body.starts_with(&GZIP_MAGIC) {
        return Ok(body.to_vec());
    }
    let mut lines = Vec::new();
    GzDecoder::new(body).read_to_end(&mut lines)?;
    Ok(lines)
}
