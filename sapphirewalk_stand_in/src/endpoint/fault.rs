//! Faults of an endpoint that tests switch at run time.

/// What an endpoint does wrong with a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EndpointFault {
    /// Nothing.
    #[default]
    None,
    /// Runs longer by this many milliseconds.
    Slow {
        /// Milliseconds added to the service time.
        extra_ms: u64,
    },
    /// Runs the request, then answers 500.
    Error,
    /// Runs the request, then closes the connection in the middle of the answer's body.
    CloseMidAnswer,
    /// Refuses with 503 and the not-started header, before the request begins to run.
    RefuseBeforeStart,
    /// Reads the request, then closes the connection; the request does not run.
    CloseAfterRead,
    /// Runs the request, then closes the connection without an answer.
    CloseAfterRun,
    /// Answers with the ID of another request.
    WrongRequestId,
}

/// The faults now in force.
#[derive(Debug, Default)]
pub(super) struct FaultPlan {
    lasting: EndpointFault,
    next: EndpointFault,
    next_count: u32,
}

impl FaultPlan {
    pub const fn set_lasting(&mut self, fault: EndpointFault) {
        self.lasting = fault;
    }

    pub const fn set_next(&mut self, fault: EndpointFault, count: u32) {
        self.next = fault;
        self.next_count = count;
    }

    /// The fault of the request at hand.
    pub const fn take(&mut self) -> EndpointFault {
        if self.next_count == 0 {
            return self.lasting;
        }
        self.next_count -= 1;
        self.next
    }
}
