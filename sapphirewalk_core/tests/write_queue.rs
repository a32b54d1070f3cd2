//! Which jobs a batch writes while more wait than it takes.

#![allow(missing_docs)]

use sapphirewalk_core::job_registry::JobSlot;
use sapphirewalk_core::write_queue::WriteQueue;

fn queue(priorities: &[u32]) -> WriteQueue {
    let mut queue = WriteQueue::default();
    for (priority, job) in priorities.iter().zip(0..) {
        queue.push(JobSlot(job), *priority);
    }
    queue
}

#[test]
fn all_jobs_are_written_in_their_order_if_the_batch_takes_them() {
    let mut queue = queue(&[2, 0, 2]);
    assert_eq!(queue.take(3, Some), [JobSlot(0), JobSlot(1), JobSlot(2)]);
    assert!(queue.is_empty());
}

#[test]
fn urgent_jobs_are_written_before_bulk_jobs_that_wait_longer() {
    let mut priorities = vec![2; 90];
    priorities.extend([0; 20]);
    let mut queue = queue(&priorities);
    let taken = queue.take(30, Some);
    assert_eq!(taken.len(), 30);
    assert!((90..110).all(|job| taken.contains(&JobSlot(job))));
    assert_eq!(queue.len(), 80);
}

#[test]
fn bulk_jobs_are_written_in_their_order_beside_endless_urgent_ones() {
    let mut queue = queue(&[2; 60]);
    let mut bulk = Vec::new();
    for round in 0..6 {
        for job in 0..100 {
            queue.push(JobSlot(1_000 + round * 100 + job), 0);
        }
        let taken = queue.take(30, Some);
        assert_eq!(taken.len(), 30);
        bulk.extend(taken.into_iter().filter(|job| job.0 < 1_000));
    }
    let expected: Vec<JobSlot> = (0..60).map(JobSlot).collect();
    assert_eq!(bulk, expected);
}

/// Guards against urgent jobs that wait for long bulk rows, and against bulk jobs that never get
/// their share, while a batch is full before it has its most rows.
#[test]
fn a_batch_that_is_full_early_holds_the_urgent_jobs_and_the_share_of_the_oldest() {
    let mut priorities = vec![2; 60];
    priorities.extend([0; 60]);
    let mut queue = queue(&priorities);
    let mut room = 9;
    let taken = queue.take(90, |job| {
        room -= 1;
        (room >= 0).then_some(job)
    });
    let expected: Vec<JobSlot> = (0..3).chain(60..66).map(JobSlot).collect();
    assert_eq!(taken, expected);
    assert_eq!(queue.len(), 111);
    assert_eq!(queue.take(1, Some), [JobSlot(66)]);
}
