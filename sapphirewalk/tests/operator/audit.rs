//! The audit trail shows which rollout was in force, and `audit verify` finds every change made to
//! the trail: a flipped byte, a missing, reordered or forged record, or a trail that is cut short.

use std::io::Read;

use flate2::read::GzDecoder;
use sha2::Digest;
use sha2::Sha256;

use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::await_until;
use sapphirewalk_stand_in::fleet::seconds_from_now;

use crate::support;

const TRAIL_PREFIX: &str = "audit/e0-0.1/gateway/";

/// Starts a fleet and waits until the trail of its first gateway is in the object store. Returns
/// the fleet and the name of the object.
async fn start_fleet() -> (Fleet, String) {
    let fleet = Fleet::start(support::plan()).await.unwrap();
    await_until(seconds_from_now(10), "the trail is stored", async || {
        trail_object(&fleet).is_some()
    })
    .await
    .unwrap();
    let name = trail_object(&fleet).unwrap();
    (fleet, name)
}

fn trail_object(fleet: &Fleet) -> Option<String> {
    fleet
        .platform()
        .object_names()
        .into_iter()
        .find(|name| name.starts_with(TRAIL_PREFIX))
}

/// Applies `change` to the records of a stored trail, and returns what `audit verify` prints.
async fn verify_changed(change: impl FnOnce(&mut Vec<Vec<u8>>)) -> String {
    let (fleet, name) = start_fleet().await;
    let body = unpack(&fleet.platform().object(&name).unwrap());
    let mut lines: Vec<Vec<u8>> = body
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
        .map(<[u8]>::to_vec)
        .collect();
    assert!(lines.len() >= 2, "a trail of {} records", lines.len());
    change(&mut lines);
    fleet
        .platform()
        .overwrite_object(&name, lines.join(&b'\n').into());
    let output = support::run(&fleet, &["audit", "verify"]).await;
    assert_eq!(output.status.code(), Some(2));
    support::stdout(&output)
}

#[tokio::test]
async fn an_unchanged_trail_verifies_and_shows_what_was_in_force() {
    let (fleet, _) = start_fleet().await;
    let verified = support::run(&fleet, &["audit", "verify"]).await;
    assert!(verified.status.success(), "{}", support::stdout(&verified));
    let in_force = support::stdout(&support::run(&fleet, &["audit", "in-force"]).await);
    assert!(
        in_force.contains("rollout 1") && in_force.contains("signed off by op1"),
        "{in_force}"
    );
    assert!(in_force.contains("audit/e0-0.1/gateway/"), "{in_force}");
    let queried = support::stdout(&support::run(&fleet, &["audit", "query"]).await);
    assert!(
        queried.contains("\"decision\":\"rollout_applied\""),
        "{queried}"
    );
}

fn unpack(object: &[u8]) -> Vec<u8> {
    let mut lines = Vec::new();
    GzDecoder::new(object).read_to_end(&mut lines).unwrap();
    lines
}

#[tokio::test]
async fn one_flipped_byte_of_an_object_is_found() {
    let (fleet, name) = start_fleet().await;
    let mut body = fleet.platform().object(&name).unwrap().to_vec();
    let middle = body.len() / 2;
    body[middle] ^= 1;
    fleet.platform().overwrite_object(&name, body.into());
    let output = support::run(&fleet, &["audit", "verify"]).await;
    assert_eq!(output.status.code(), Some(2));
    assert!(support::stdout(&output).contains("FAULTY"));
}

#[tokio::test]
async fn one_flipped_byte_of_a_record_is_found() {
    let output = verify_changed(|lines| {
        let line = &mut lines[0];
        let position = line.windows(5).position(|text| text == b"at_us").unwrap() + 8;
        line[position] ^= 1;
    })
    .await;
    assert!(output.contains("record 1 was changed"), "{output}");
}

#[tokio::test]
async fn a_missing_record_is_found() {
    let output = verify_changed(|lines| drop(lines.remove(0))).await;
    assert!(output.contains("records 1 to 1 are missing"), "{output}");
}

#[tokio::test]
async fn a_reordered_record_is_found() {
    let output = verify_changed(|lines| lines.swap(0, 1)).await;
    assert!(output.contains("out of order"), "{output}");
}

#[tokio::test]
async fn a_trail_cut_short_is_found() {
    let output = verify_changed(|lines| {
        lines.pop();
    })
    .await;
    assert!(output.contains("ends at record"), "{output}");
}

#[tokio::test]
async fn a_record_replaced_by_one_with_a_fitting_hash_is_found() {
    let output = verify_changed(|lines| {
        let line = String::from_utf8(lines[0].clone()).unwrap();
        lines[0] = forge(&line).into_bytes();
    })
    .await;
    assert!(output.contains("record 2 does not follow"), "{output}");
}

/// Changes the time of a first record and replaces its hash by that of the changed fields.
fn forge(line: &str) -> String {
    let (head, rest) = line.split_once(",\"previous\":\"\",\"decision\":").unwrap();
    let (decision, _) = rest.split_once(",\"hash\":").unwrap();
    let head = format!("{head}0");
    let (_, at_us) = head.split_once("\"at_us\":").unwrap();
    let text = format!("1\n{at_us}\n\n{decision}");
    let hash = hex::encode(Sha256::digest(text.as_bytes()));
    format!("{head},\"previous\":\"\",\"decision\":{decision},\"hash\":\"{hash}\"}}")
}
