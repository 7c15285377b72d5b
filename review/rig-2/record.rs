//! What a case sent, got and ran, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("a lock");
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Like [`Self::line`], and shows the line to who runs the case.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.started.elapsed().as_secs_f64());
        self.line(text);
    }
}
