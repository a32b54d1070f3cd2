//! Plays one case of the review: `review_stand_ins CASE REPOSITORY RECORD`.
//!
//! It starts the project's entry processes against stand-ins of workers, callers and the store on
//! loopback, and checks a rule from what these have seen. It exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod fleet;
mod http;
mod record;
mod store;
mod worker;

use std::env;
use std::fs;
use std::panic;
use std::path::Path;
use std::process;
use std::thread;
use std::time::Duration;

use crate::cases::Scene;
use crate::record::Record;

/// A case that isn't over by then is ended.
const LONGEST_CASE: Duration = Duration::from_secs(117);

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, root, record_path] = arguments.as_slice() else {
        eprintln!("usage: review_stand_ins CASE REPOSITORY RECORD");
        process::exit(2);
    };
    let folder = env::temp_dir().join(format!("review-{case}-{}", process::id()));
    thread::spawn(|| {
        thread::sleep(LONGEST_CASE);
        fleet::kill_all();
        eprintln!("the case took too long");
        process::exit(2);
    });
    let outcome =
        panic::catch_unwind(|| play(case, Path::new(root), Path::new(record_path), &folder));
    let outcome = outcome.unwrap_or_else(|_panic| Err(std::io::Error::other("a panic")));
    fleet::kill_all();
    let _removed = fs::remove_dir_all(&folder);
    match outcome {
        Ok(true) => process::exit(0),
        Ok(false) => process::exit(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            process::exit(2);
        }
    }
}

/// Returns whether the rule held.
fn play(case: &str, root: &Path, record: &Path, folder: &Path) -> std::io::Result<bool> {
    fs::create_dir_all(folder)?;
    let scene = Scene {
        root: root.to_owned(),
        folder: folder.to_owned(),
        record: Record::create(record)?,
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let held = match case {
        "forgotten" => cases::forgotten(&scene)?,
        "flapping" => cases::flapping(&scene)?,
        "dropped_route" => cases::dropped_route(&scene)?,
        "silent" => cases::silent(&scene)?,
        "reborn" => cases::reborn(&scene)?,
        _ => return Err(std::io::Error::other("no such case")),
    };
    let verdict = if held {
        "the rule held"
    } else {
        "THE RULE WAS BROKEN"
    };
    scene.record.line(verdict);
    println!("{case}: {verdict}");
    Ok(held)
}
