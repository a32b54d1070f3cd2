//! The command that tells the history of a job from logs of real processes.

use std::process;

use crate::fleet::EntryFleet;

fn explain(id: &str, logs: &[String]) -> (bool, String) {
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_sapphirewalk"))
        .args(["explain", id])
        .stdin(process::Stdio::piped())
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut input = child.stdin.take().expect("the input is piped");
    for log in logs {
        std::io::Write::write_all(&mut input, log.as_bytes()).expect("the command reads");
    }
    drop(input);
    let output = child.wait_with_output().expect("the command ends");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.success(), text)
}

#[tokio::test(flavor = "multi_thread")]
async fn the_life_of_a_job_is_told_from_the_logs_of_all_entry_vms() {
    let mut fleet = EntryFleet::start("explain", 2).await;
    assert_eq!(fleet.submit(0, 500, 1_500, &[2, 1]).await, 200);
    fleet
        .until("the job runs", async |fleet| fleet.running(500) == 2)
        .await;
    fleet
        .until("its acceptance is in the log", async |fleet| {
            fleet.entries[0].log().contains("event=job_accepted")
        })
        .await;
    let first = fleet.leader().expect("one is in leader");
    fleet.entries[first].kill();
    fleet.until_state(1 - first, 500, "completed").await;
    fleet.entries[1 - first].terminate();
    let logs: Vec<String> = fleet
        .entries
        .iter()
        .map(|entry| entry.log() + "\n")
        .collect();
    let (done, story) = explain("00000000000001f4", &logs);
    assert!(done, "{story}");
    for event in [
        "job_accepted",
        "run_placed",
        "leadership_started",
        "run_ended",
        "job_completed",
    ] {
        assert!(story.contains(event), "no {event} in {story}");
    }
    assert!(!story.contains("missing"), "{story}");
    // Without the log of the leader, the story says what it lacks.
    let accepted: Vec<String> = logs
        .iter()
        .flat_map(|log| log.lines())
        .filter(|line| line.contains("event=job_accepted"))
        .map(|line| format!("{line}\n"))
        .collect();
    let (done, story) = explain("00000000000001f4", &accepted);
    assert!(
        done && story.contains("missing: its coordination"),
        "{story}"
    );
}

#[test]
fn jobs_that_no_line_names_and_bad_identifiers_get_a_remedy() {
    let (done, text) = explain("00000000000001f4", &["at_ms=1 event=x job=2\n".to_owned()]);
    assert!(!done && text.contains("gather the logs"), "{text}");
    let (done, text) = explain("zz", &[]);
    assert!(!done && text.contains("16 hexadecimal digits"), "{text}");
}
