//! Replays a small request trace with the binary, and checks the printed table and the exit codes.

use std::fs;
use std::path;
use std::process;

const EVENTS: &str = r#"{"event":"fleet","seed":7,"length_ms":200,"domains":[{"gateways":2,"endpoints":2}],"slots":8,"connections":64,"within_domain_us":100,"between_domains_us":500,"full_load_permille":200}
{"event":"kind","name":"order","urgency":1,"weight":1,"floor_permille":100,"idempotent":true,"deadline_ms":400,"run_times":[{"permille":0,"us":2000},{"permille":1000,"us":9000}]}
{"event":"spread","at_ms":0,"weights":[3,1]}
{"event":"arrivals","kind":0,"at_ms":0,"bin_ms":50,"counts":[10,10,10,10]}
"#;

fn replay(name: &str, bound: &str, events: &str) -> process::Output {
    let header = format!(
        r#"{{"subject":"request","name":"{name}","outcomes":[{{"measure":"order answered in time (%)","bound":{{{bound}}}}}]}}"#
    );
    let path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.jsonl"));
    fs::write(&path, format!("{header}\n{events}")).expect("the test's folder is writable");
    process::Command::new(env!("CARGO_BIN_EXE_sapphirewalk"))
        .arg("replay")
        .arg(&path)
        .output()
        .expect("the binary starts")
}

#[test]
fn outcomes_that_are_met_exit_with_success() {
    let output = replay("met", r#""at_least":100.0"#, EVENTS);
    let table = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{table}");
    assert!(table.contains("pass") && table.contains("fcfs="), "{table}");
    assert_eq!(
        output.stdout,
        replay("met", r#""at_least":100.0"#, EVENTS).stdout
    );
}

#[test]
fn an_outcome_that_is_missed_exits_with_failure() {
    let output = replay("missed", r#""at_most":99.0"#, EVENTS);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("FAIL"));
}

#[test]
fn an_invalid_line_is_reported_with_its_number() {
    let events = EVENTS.replace(r#""event":"spread""#, r#""event":"spred""#);
    let output = replay("error", r#""at_least":100.0"#, &events);
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(
        message.contains("line 4") && message.contains("docs/TRACES.md"),
        "{message}"
    );
}

#[test]
fn inconsistent_lines_are_reported() {
    let cases = [
        (
            r#""arrivals","kind":0"#,
            r#""arrivals","kind":7"#,
            "no kind line for kind 7",
        ),
        (r#""weights":[3,1]"#, r#""weights":[0,0]"#, "one above 0"),
        (
            r#""weights":[3,1]"#,
            r#""weights":[1]"#,
            "a weight for each gateway",
        ),
        (r#""slots":8"#, r#""slots":0"#, "no slots"),
    ];
    for (index, (from, to, expected)) in cases.iter().enumerate() {
        let events = EVENTS.replace(from, to);
        let output = replay(&format!("content-{index}"), r#""at_least":100.0"#, &events);
        assert_eq!(output.status.code(), Some(2));
        let message = String::from_utf8_lossy(&output.stderr);
        assert!(message.contains(expected), "{message}");
    }
}
