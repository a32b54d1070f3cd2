//! Checks that `explain` shows the history of a job from the logs of real processes.

use std::process;

use crate::fleet::EntryFleet;

/// Runs `explain` with the logs on standard input; whether it succeeded, and all it printed.
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
        std::io::Write::write_all(&mut input, log.as_bytes()).expect("the command reads its input");
    }
    drop(input);
    let output = child.wait_with_output().expect("the command exits");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.success(), text)
}

#[tokio::test(flavor = "multi_thread")]
async fn the_history_of_a_job_is_shown_from_the_logs_of_all_entry_vms() {
    let mut fleet = EntryFleet::start("explain", 2).await;
    assert_eq!(fleet.submit(0, 500, 1_500, &[2, 1]).await, 200);
    fleet
        .until("the job is running", async |fleet| fleet.running(500) == 2)
        .await;
    fleet
        .until("its acceptance is in the log", async |fleet| {
            fleet.entries[0].log().contains("event=job_accepted")
        })
        .await;
    let first = fleet.leader().expect("an entry VM is the leader");
    // A kill loses the lines that the process has not flushed yet.
    fleet
        .until("its placement is in the log", async |fleet| {
            fleet.entries[first].log().contains("event=run_placed")
        })
        .await;
    fleet.entries[first].kill();
    fleet.until_state(1 - first, 500, "completed").await;
    fleet.entries[1 - first].terminate();
    let logs: Vec<String> = fleet
        .entries
        .iter()
        .map(|entry| entry.log() + "\n")
        .collect();
    let (succeeded, history) = explain("00000000000001f4", &logs);
    assert!(succeeded, "{history}");
    for event in [
        "job_accepted",
        "run_placed",
        "leadership_started",
        "run_ended",
        "job_completed",
    ] {
        assert!(history.contains(event), "no {event} in {history}");
    }
    assert!(!history.contains("missing"), "{history}");
    // Without the log of the leader, the output says which part is missing.
    let accepted: Vec<String> = logs
        .iter()
        .flat_map(|log| log.lines())
        .filter(|line| line.contains("event=job_accepted"))
        .map(|line| format!("{line}\n"))
        .collect();
    let (succeeded, history) = explain("00000000000001f4", &accepted);
    assert!(
        succeeded && history.contains("missing: its coordination"),
        "{history}"
    );
}

#[test]
fn unlogged_jobs_and_invalid_identifiers_are_reported_with_a_remedy() {
    let (succeeded, text) = explain("00000000000001f4", &["at_ms=1 event=x job=2\n".to_owned()]);
    assert!(!succeeded && text.contains("gather the logs"), "{text}");
    let (succeeded, text) = explain("zz", &[]);
    assert!(
        !succeeded && text.contains("16 hexadecimal digits"),
        "{text}"
    );
}

/// Guards against a history that doesn't say why a task waited: the evacuation may have been
/// requested long before the job.
#[test]
fn evacuations_that_were_in_force_during_a_job_are_shown() {
    let log = "\
at_ms=1000 level=info event=evacuation_requested domain=old version=1 age=0ms tasks=0
at_ms=2000 level=info event=evacuation_ended domain=old version=1 age=1000ms tasks=0
at_ms=3000 level=info event=evacuation_requested domain=north version=2 age=0ms tasks=3
at_ms=50000 level=info event=job_accepted job=00000000000001f4
at_ms=50010 level=info event=run_withheld job=00000000000001f4 reason=evacuated
at_ms=50500 level=info event=evacuation_unknown domain=west version=3
at_ms=51000 level=info event=run_stop job=00000000000001f4 reason=evacuated
at_ms=51500 level=info event=evacuation_ended domain=north version=2 age=48500ms tasks=0
at_ms=52000 level=info event=job_completed job=00000000000001f4
at_ms=60000 level=info event=evacuation_requested domain=late version=4 age=0ms tasks=0
";
    let (succeeded, history) = explain("00000000000001f4", &[log.to_owned()]);
    assert!(succeeded, "{history}");
    for (event, detail) in [
        ("evacuation_requested", "domain=north"),
        ("run_withheld", "reason=evacuated"),
        ("evacuation_unknown", "domain=west"),
        ("run_stop", "reason=evacuated"),
        ("evacuation_ended", "domain=north"),
    ] {
        let found = history
            .lines()
            .any(|line| line.contains(event) && line.contains(detail));
        assert!(found, "no {event} {detail} in {history}");
    }
    for left_out in ["domain=old", "domain=late"] {
        assert!(!history.contains(left_out), "{left_out} in {history}");
    }
}
