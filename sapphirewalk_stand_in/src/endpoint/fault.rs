//! Faults of an endpoint that a test sets at run time.

/// The fault that an endpoint applies to a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EndpointFault {
    /// No fault: the request runs and gets a correct answer.
    #[default]
    None,
    /// Runs the request for longer than its service time.
    Slow {
        /// Milliseconds added to the service time.
        extra_ms: u64,
    },
    /// Runs the request, then answers 500.
    Error,
    /// Runs the request, then closes the connection after half of the answer's body. The ledger
    /// then has no end of this run.
    CloseMidAnswer,
    /// Answers 503 with the not-started header, without running the request.
    RefuseBeforeStart,
    /// Reads the request, then closes the connection without running it.
    CloseAfterRead,
    /// Runs the request, then closes the connection without an answer.
    CloseAfterRun,
    /// Runs the request, then answers with the ID of another request.
    WrongRequestId,
}

/// The faults that apply to the coming requests.
#[derive(Debug, Default)]
pub(super) struct FaultPlan {
    /// Applies to each request while `next_count` is zero.
    default: EndpointFault,
    next: EndpointFault,
    /// Coming requests to which `next` applies instead.
    next_count: u32,
}

impl FaultPlan {
    pub const fn set_default(&mut self, fault: EndpointFault) {
        self.default = fault;
    }

    pub const fn set_next(&mut self, fault: EndpointFault, count: u32) {
        self.next = fault;
        self.next_count = count;
    }

    /// The fault for one request; counts it against `next_count`.
    pub const fn take_fault(&mut self) -> EndpointFault {
        if self.next_count == 0 {
            return self.default;
        }
        self.next_count -= 1;
        self.next
    }
}
