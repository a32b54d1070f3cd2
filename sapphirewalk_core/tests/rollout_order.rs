//! No process goes back to an older rollout, and no sequence number has two digests, with
//! concurrent operators, outdated peers and restarts.

use bolero::TypeGenerator;
use bolero::check;

use sapphirewalk_core::rollout_order::OfferStep;
use sapphirewalk_core::rollout_order::RolloutName;
use sapphirewalk_core::rollout_order::RolloutOrder;
use sapphirewalk_core::rollout_order::StartupStep;

const PROCESSES: usize = 4;
const OPERATORS: usize = 2;

#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Event {
    /// An operator reads the sequence number of the last rollout.
    Read { operator: u8 },
    /// An operator writes the next sequence number, if the row is unchanged since it was read.
    Write { operator: u8, digest: u8 },
    /// A process reads the row from the platform, which ends its startup.
    Poll { process: u8 },
    /// A process receives the rollout that a peer has applied.
    Gossip { from: u8, to: u8 },
    /// A process queries all peers in place of the platform, which ends its startup.
    QueryAll { process: u8 },
    /// A process restarts and loses its state.
    Restart { process: u8 },
}

#[derive(Default)]
struct Process {
    order: RolloutOrder,
    applied: Option<RolloutName>,
}

#[derive(Default)]
struct FleetModel {
    /// All rollouts written to the row, oldest first.
    written: Vec<RolloutName>,
    /// Sequence number that each operator read last.
    reads: [u64; OPERATORS],
    processes: [Process; PROCESSES],
}

impl Process {
    fn receive(&mut self, offered: &RolloutName) {
        match self.order.offer(offered) {
            OfferStep::Apply => self.apply(),
            OfferStep::Hold | OfferStep::Ignore => {}
            OfferStep::Conflict => panic!("two digests with sequence number {}", offered.sequence),
        }
    }

    fn end_startup(&mut self) {
        if self.order.end_startup() == StartupStep::Apply {
            self.apply();
        }
    }

    fn apply(&mut self) {
        let latest = self.order.latest().cloned();
        let before = self.applied.as_ref().map_or(0, |name| name.sequence);
        assert!(
            latest.as_ref().is_some_and(|name| name.sequence > before),
            "the latest rollout {latest:?} is not newer than the applied number {before}"
        );
        self.applied = latest;
    }
}

impl FleetModel {
    /// Sequence number of the last rollout; 0 before the first one.
    fn sequence(&self) -> u64 {
        self.written.last().map_or(0, |name| name.sequence)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Read { operator } => self.reads[operator as usize % OPERATORS] = self.sequence(),
            Event::Write { operator, digest } => {
                let read_sequence = self.reads[operator as usize % OPERATORS];
                if read_sequence == self.sequence() {
                    let name = RolloutName {
                        sequence: read_sequence + 1,
                        digest: digest.to_string(),
                    };
                    self.written.push(name);
                }
            }
            Event::Poll { process } => self.poll(process as usize % PROCESSES),
            Event::Gossip { from, to } => self.gossip(from, to as usize % PROCESSES),
            Event::QueryAll { process } => {
                for peer in 0..PROCESSES as u8 {
                    self.gossip(peer, process as usize % PROCESSES);
                }
                self.processes[process as usize % PROCESSES].end_startup();
            }
            Event::Restart { process } => {
                self.processes[process as usize % PROCESSES] = Process::default();
            }
        }
    }

    fn poll(&mut self, process: usize) {
        if let Some(name) = self.written.last().cloned() {
            self.processes[process].receive(&name);
        }
        self.processes[process].end_startup();
    }

    fn gossip(&mut self, from: u8, to: usize) {
        if let Some(name) = self.processes[from as usize % PROCESSES].applied.clone() {
            self.processes[to].receive(&name);
        }
    }
}

#[test]
fn no_process_reverts_and_all_converge_on_the_last_rollout() {
    check!().with_type::<Vec<Event>>().for_each(|events| {
        let mut model = FleetModel::default();
        for event in events {
            model.step(*event);
        }
        for process in 0..PROCESSES {
            model.poll(process);
            assert_eq!(
                model.processes[process].applied.as_ref(),
                model.written.last()
            );
        }
    });
}

#[test]
fn an_outdated_rollout_received_first_is_not_applied() {
    let name = |sequence: u64| RolloutName {
        sequence,
        digest: sequence.to_string(),
    };
    let mut order = RolloutOrder::new();
    assert_eq!(order.offer(&name(3)), OfferStep::Hold);
    assert_eq!(order.offer(&name(5)), OfferStep::Hold);
    assert_eq!(order.offer(&name(4)), OfferStep::Ignore);
    assert_eq!(order.end_startup(), StartupStep::Apply);
    assert_eq!(order.latest(), Some(&name(5)));
    assert_eq!(order.end_startup(), StartupStep::Done);
}

#[test]
fn two_digests_with_one_sequence_number_are_a_conflict() {
    let mut order = RolloutOrder::new();
    order.offer(&RolloutName {
        sequence: 1,
        digest: "a".to_owned(),
    });
    let other = RolloutName {
        sequence: 1,
        digest: "b".to_owned(),
    };
    assert_eq!(order.offer(&other), OfferStep::Conflict);
}
