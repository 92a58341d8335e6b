//! Log lines to standard output that never make a request wait.
//!
//! Lines go through a bounded queue to a thread of their own, which wakes a few
//! times a second and writes all that is there at once. What doesn't fit is
//! dropped and counted, and the count is written.

use crossbeam::channel;
use std::io;
use std::io::Write;
use std::sync::atomic;
use std::thread;
use std::time;

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 4_096;
/// How often lines are written.
const WRITE_GAP: time::Duration = time::Duration::from_millis(200);

struct Logger {
    lines: channel::Sender<String>,
    dropped: atomic::AtomicU64,
    level: log::LevelFilter,
}

impl log::Log for Logger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= self.level && metadata.target().starts_with("trace")
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let dropped = self.dropped.swap(0, atomic::Ordering::Relaxed);
        let level = record.level();
        let line = match dropped {
            0 => format!("level={level} {}\n", record.args()),
            lost => format!("level={level} lines_dropped={lost} {}\n", record.args()),
        };
        if self.lines.try_send(line).is_err() {
            self.dropped
                .fetch_add(dropped + 1, atomic::Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Writes what is left before the process ends.
pub struct LogGuard {
    stop: channel::Sender<()>,
    writer: Option<thread::JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        // The writer can only be gone already.
        let _ = self.stop.send(());
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}

/// Begins to write lines of `level` and above to standard output.
pub fn start_bounded_logging(level: log::LevelFilter) -> io::Result<LogGuard> {
    let (sender, lines) = channel::bounded(QUEUE_LINES);
    let (stop, stopped) = channel::bounded(1);
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_all(&lines, &stopped))?;
    let logger = Logger {
        lines: sender,
        dropped: atomic::AtomicU64::new(0),
        level,
    };
    // A second start in one process keeps the first logger.
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
    }
    let writer = Some(writer);
    Ok(LogGuard { stop, writer })
}

fn write_all(lines: &channel::Receiver<String>, stopped: &channel::Receiver<()>) {
    loop {
        let last = stopped.recv_timeout(WRITE_GAP).is_ok();
        let text: String = lines.try_iter().collect();
        if !text.is_empty() {
            // Nobody reads any more: there is no one to tell.
            let _ = io::stdout().lock().write_all(text.as_bytes());
        }
        if last {
            return;
        }
    }
}
