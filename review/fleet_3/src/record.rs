//! What was sent, answered and run, with the time in ms since the begin.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// Most lines about runs; later runs are left out of the file.
const MAX_RUN_LINES: u64 = 1_500;
/// Most other lines.
const MAX_LINES: u64 = 3_000;

pub struct Record {
    begun_at: Instant,
    file: Mutex<(File, u64)>,
    run_lines: AtomicU64,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the case's folder is writable");
        Self {
            begun_at: Instant::now(),
            file: Mutex::new((file, 0)),
            run_lines: AtomicU64::new(0),
        }
    }

    /// Time since the begin in ms.
    pub fn now_ms(&self) -> u64 {
        self.begun_at.elapsed().as_millis() as u64
    }

    /// Writes a line about a run to the file.
    pub fn run_line(&self, text: &str) {
        if self.run_lines.fetch_add(1, Ordering::Relaxed) < MAX_RUN_LINES {
            self.line(text);
        }
    }

    /// Writes a line to the file.
    pub fn line(&self, text: &str) {
        let now = self.now_ms();
        let mut file = self.file.lock().expect("not poisoned");
        file.1 += 1;
        if file.1 <= MAX_LINES {
            let _written = writeln!(file.0, "{now:>7} {text}");
        }
    }

    /// Writes a line to the file and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        let now = self.now_ms();
        let mut file = self.file.lock().expect("not poisoned");
        let _written = writeln!(file.0, "{now:>7} {text}");
    }
}
