//! Plays one case of the review: `fleet_3 CASE FOLDER`, in the repository's root. The record goes
//! to FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
//! run. With TROUBLE=0 in the environment the disruption is left out.

mod cases;
mod fleet;
mod http;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal;

use crate::record::Record;

/// Longest time of a case; a script may run for 120 s.
const LONGEST: Duration = Duration::from_secs(112);

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: fleet_3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&Path::new(&folder).join("record.txt")));
    record.say(&format!("case {case}, trouble {}", u8::from(trouble)));
    let play = cases::play(&case, trouble, &record);
    let mut terminate =
        signal::unix::signal(signal::unix::SignalKind::terminate()).expect("a handler can be set");
    let play = async {
        tokio::select! {
            outcome = tokio::time::timeout(LONGEST, play) => Some(outcome),
            _ = terminate.recv() => None,
            _ = signal::ctrl_c() => None,
        }
    };
    let Some(outcome) = play.await else {
        record.say("the case was stopped");
        return ExitCode::from(2);
    };
    match outcome {
        Ok(Some(broken)) => {
            record.say(if broken {
                "the rule was broken"
            } else {
                "the rule held"
            });
            ExitCode::from(u8::from(broken))
        }
        Ok(None) => {
            record.say("there is no such case");
            ExitCode::from(2)
        }
        Err(_elapsed) => {
            record.say("the case took too long");
            ExitCode::from(2)
        }
    }
}
