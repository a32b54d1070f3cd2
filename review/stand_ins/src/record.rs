//! The record of what was sent, answered and run.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            begun: Instant::now(),
            file: Arc::new(Mutex::new(fs::File::create(path)?)),
        })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{seconds:9.3} {text}");
    }

    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
}
