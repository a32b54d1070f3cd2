//! Rollouts never revert and never differ under one number, whatever is lost, late or restarted.

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
    /// An operator reads the row.
    Read { operator: u8 },
    /// An operator writes the number after the one it read, if the row is still that.
    Write { operator: u8, digest: u8 },
    /// A process reads the row; it settles.
    Poll { process: u8 },
    /// A process hears a peer.
    Gossip { from: u8, to: u8 },
    /// A process that can't reach the platform has asked all peers.
    AskAll { process: u8 },
    /// A process is restarted with no memory.
    Restart { process: u8 },
}

#[derive(Default)]
struct Process {
    order: RolloutOrder,
    in_force: Option<RolloutName>,
}

#[derive(Default)]
struct Model {
    history: Vec<RolloutName>,
    seen: [u64; OPERATORS],
    processes: [Process; PROCESSES],
}

impl Process {
    fn hear(&mut self, offered: &RolloutName) {
        match self.order.offer(offered) {
            OfferStep::Apply => self.apply(),
            OfferStep::Hold | OfferStep::Ignore => {}
            OfferStep::Conflict => panic!("two digests under number {}", offered.sequence),
        }
    }

    fn settle(&mut self) {
        if self.order.end_startup() == StartupStep::Apply {
            self.apply();
        }
    }

    fn apply(&mut self) {
        let best = self.order.latest().cloned();
        let before = self.in_force.as_ref().map_or(0, |name| name.sequence);
        assert!(
            best.as_ref().is_some_and(|name| name.sequence > before),
            "reverted"
        );
        self.in_force = best;
    }
}

impl Model {
    fn last(&self) -> u64 {
        self.history.last().map_or(0, |name| name.sequence)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Read { operator } => self.seen[operator as usize % OPERATORS] = self.last(),
            Event::Write { operator, digest } => {
                let seen = self.seen[operator as usize % OPERATORS];
                if seen == self.last() {
                    let name = RolloutName {
                        sequence: seen + 1,
                        digest: digest.to_string(),
                    };
                    self.history.push(name);
                }
            }
            Event::Poll { process } => self.poll(process as usize % PROCESSES),
            Event::Gossip { from, to } => self.gossip(from, to as usize % PROCESSES),
            Event::AskAll { process } => {
                for peer in 0..PROCESSES as u8 {
                    self.gossip(peer, process as usize % PROCESSES);
                }
                self.processes[process as usize % PROCESSES].settle();
            }
            Event::Restart { process } => {
                self.processes[process as usize % PROCESSES] = Process::default();
            }
        }
    }

    fn poll(&mut self, process: usize) {
        if let Some(last) = self.history.last().cloned() {
            self.processes[process].hear(&last);
        }
        self.processes[process].settle();
    }

    fn gossip(&mut self, from: u8, to: usize) {
        if let Some(name) = self.processes[from as usize % PROCESSES].in_force.clone() {
            self.processes[to].hear(&name);
        }
    }
}

#[test]
fn never_reverts_and_all_agree_in_the_end() {
    check!().with_type::<Vec<Event>>().for_each(|events| {
        let mut model = Model::default();
        for event in events {
            model.step(*event);
        }
        for process in 0..PROCESSES {
            model.poll(process);
            assert_eq!(
                model.processes[process].in_force.as_ref(),
                model.history.last()
            );
        }
    });
}

#[test]
fn a_stale_peer_heard_first_is_not_put_in_force() {
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
fn two_digests_under_one_number_are_a_conflict() {
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
