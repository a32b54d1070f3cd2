//! Runs one case of the review against entry processes on loopback: `review_rig CASE FOLDER`.
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod cases;
mod http;
mod rig;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = words.as_slice() else {
        eprintln!("usage: review_rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "ends" => cases::ends::run(Path::new(folder), trouble),
        "batch" => cases::batch::run(Path::new(folder), trouble),
        "crashes" => cases::crashes::run(Path::new(folder), trouble),
        "kind" => cases::kind::run(Path::new(folder), trouble),
        _ => Err(format!("no case {case}")),
    };
    match verdict {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
