//! Workers that restart under their identifiers, with clocks that are behind their former ones.

use sapphirewalk_platform::stand_in::WorkerStandIn;

use crate::fleet::EntryFleet;

const FIRST_JOB: u64 = 640;
const ROUNDS: u64 = 3;
const TASKS: u32 = 24;
/// Clock reading after the first restart, in milliseconds. The stand-in's runs take less time than
/// the clock loses at each further restart.
const CLOCK_MS: u64 = 50_000_000;
const CLOCK_STEP_MS: u64 = 10_000_000;

/// Guards against leases, and runs of other incarnations, that a start gives to a worker which has
/// restarted since its clock was read.
#[tokio::test(flavor = "multi_thread")]
async fn calls_for_a_former_incarnation_do_not_reach_the_next_one() {
    let fleet = EntryFleet::start("restarted", 1).await;
    for round in 0..ROUNDS {
        for worker in &fleet.workers {
            worker.restart(CLOCK_MS - round * CLOCK_STEP_MS);
        }
        let job = FIRST_JOB + round;
        assert_eq!(fleet.submit(0, job, 300, &[TASKS]).await, 200);
        fleet.until_state(0, job, "completed").await;
    }
    let foreign_deadlines = fleet.workers.iter().map(WorkerStandIn::foreign_deadlines);
    assert_eq!(foreign_deadlines.sum::<usize>(), 0);
    let foreign = fleet.workers.iter();
    let foreign = foreign.map(WorkerStandIn::foreign_acknowledgements);
    assert_eq!(foreign.sum::<usize>(), 0);
}
