//! Non-blocking logger to standard output.
//!
//! Lines go through a bounded queue to a writer thread, which wakes a few times
//! per second and writes all queued lines at once, so that logging never delays a
//! request. Lines that don't fit into the queue are dropped, and the next line
//! logged says how many.

use crossbeam::channel;
use std::io;
use std::io::Write;
use std::sync::atomic;
use std::thread;
use std::time;

/// The number of lines that the queue holds.
const QUEUE_LINES: usize = 4_096;
/// How often the writer writes the queued lines.
const WRITE_INTERVAL: time::Duration = time::Duration::from_millis(200);

struct Logger {
    lines: channel::Sender<String>,
    dropped: atomic::AtomicU64,
    level: log::LevelFilter,
}

impl log::Log for Logger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        // Lines of other crates, which don't use `LogLine`, are not written.
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
            count => format!("level={level} lines_dropped={count} {}\n", record.args()),
        };
        if self.lines.try_send(line).is_err() {
            self.dropped
                .fetch_add(dropped + 1, atomic::Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Stops the writer thread when dropped, after it has written the queued lines.
pub struct LogGuard {
    stop: channel::Sender<()>,
    writer: Option<thread::JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        // This fails only if the writer has ended already.
        let _ = self.stop.send(());
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}

/// Starts a thread that writes lines of `level` and above to standard output. Fails if
/// the thread can't be started.
pub fn start_nonblocking_logging(level: log::LevelFilter) -> io::Result<LogGuard> {
    let (sender, lines) = channel::bounded(QUEUE_LINES);
    let (stop, stopped) = channel::bounded(1);
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_batches(&lines, &stopped))?;
    let logger = Logger {
        lines: sender,
        dropped: atomic::AtomicU64::new(0),
        level,
    };
    // If a logger is installed already, it stays.
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
    }
    let writer = Some(writer);
    Ok(LogGuard { stop, writer })
}

/// Writes the queued lines at each interval, and a last time when `stopped` receives
/// the order to stop.
fn write_batches(lines: &channel::Receiver<String>, stopped: &channel::Receiver<()>) {
    loop {
        let is_last = stopped.recv_timeout(WRITE_INTERVAL).is_ok();
        let text: String = lines.try_iter().collect();
        if !text.is_empty() {
            // If standard output is closed, there is nowhere to report it.
            let _ = io::stdout().lock().write_all(text.as_bytes());
        }
        if is_last {
            return;
        }
    }
}
