//! Reads request bodies within the budget of their server.

use std::ops;
use std::pin;
use std::sync;

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use sapphirewalk_core::connection_budget::ConnectionKey;
use sapphirewalk_core::connection_budget::ReserveStep;

use crate::caller_server::CallerServer;
use crate::caller_server::connection::ConnectionHandle;
use crate::caller_server::report::RefusalReason;

/// First size of the buffer of a body whose length isn't known, in bytes.
const FIRST_BUFFER_BYTES: usize = 4_096;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFault {
    /// It is longer than allowed.
    TooLong,
    /// There is no memory for it at present.
    NoMemory,
    /// The connection broke before its end.
    Broken,
}

/// A complete body. Its memory is reserved until it is dropped.
#[derive(Debug)]
pub struct ReceivedBody {
    bytes: Vec<u8>,
    reservation: BodyReservation,
}

/// Memory reserved in the budget of a server, released when dropped.
#[derive(Debug)]
struct BodyReservation {
    server: sync::Arc<CallerServer>,
    key: ConnectionKey,
    bytes: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.server.release(self.key, self.bytes);
    }
}

impl ops::Deref for ReceivedBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ReceivedBody {
    /// Separates the bytes from their reservation, which the second value holds until dropped.
    pub fn into_parts(self) -> (Vec<u8>, impl Send + Sync + 'static) {
        (self.bytes, self.reservation)
    }
}

impl ConnectionHandle {
    /// Reads the body of a request into one buffer. `copies` is the number of copies of the body
    /// that its handling makes, itself included, for all of which memory is reserved.
    ///
    /// # Errors
    ///
    /// If the body is longer than `limit`, there is no memory for it, or the connection breaks.
    pub async fn read_body(
        &self,
        mut body: Incoming,
        limit: usize,
        copies: usize,
    ) -> Result<ReceivedBody, BodyFault> {
        let announced = body.size_hint().exact();
        let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if announced.is_some_and(|length| length > limit) {
            return Err(BodyFault::TooLong);
        }
        let mut received = ReceivedBody {
            bytes: Vec::new(),
            reservation: BodyReservation {
                server: self.server().clone(),
                key: self.key(),
                bytes: 0,
            },
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_broken| BodyFault::Broken)?;
            // Trailers are ignored.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = received.bytes.len() + data.len();
            if length > limit {
                return Err(BodyFault::TooLong);
            }
            if length > received.bytes.capacity() {
                let capacity = next_capacity(&received.bytes, length, announced.unwrap_or(limit));
                self.grow(&mut received, capacity, copies).await?;
            }
            // Frames are copied: each one shares the buffer that it was received into.
            received.bytes.extend_from_slice(&data);
            self.record_body(data.len());
        }
        self.complete_request();
        Ok(received)
    }

    async fn grow(
        &self,
        received: &mut ReceivedBody,
        capacity: usize,
        copies: usize,
    ) -> Result<(), BodyFault> {
        let reservation = &mut received.reservation;
        let more = capacity * copies - reservation.bytes;
        self.reserve(more).await?;
        reservation.bytes += more;
        received
            .bytes
            .reserve_exact(capacity - received.bytes.len());
        Ok(())
    }

    async fn reserve(&self, bytes: usize) -> Result<(), BodyFault> {
        let server = self.server();
        loop {
            let mut released = pin::pin!(server.released.notified());
            released.as_mut().enable();
            let now = server.clock.now();
            let step = server.lock().budget.reserve(self.key(), bytes, now);
            match step {
                ReserveStep::Reserved => return Ok(()),
                ReserveStep::CloseFirst(other) => {
                    server.close_for_room(other, RefusalReason::BodyRoom);
                }
                ReserveStep::Wait => {}
                ReserveStep::Refuse => {
                    server.record_refusal(RefusalReason::BodyMemory);
                    return Err(BodyFault::NoMemory);
                }
            }
            released.await;
        }
    }
}

/// Size of the buffer of a body that has `length` bytes so far and at most `most` in the end.
fn next_capacity(bytes: &Vec<u8>, length: usize, most: usize) -> usize {
    let doubled = (bytes.capacity() * 2).max(FIRST_BUFFER_BYTES);
    doubled.min(most).max(length)
}
