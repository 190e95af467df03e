//! Logs to standard output, one JSON object per line.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::Thread;
use std::time::{Duration, Instant, UNIX_EPOCH};

use logforth::append::Append;
use logforth::bridge::log::LogBridge;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;
use logforth::{Diagnostic, Error};
use serde_json::{Map, Value};

/// Capacity of the queue to the writer thread. Further lines are dropped and counted, so that logging never blocks and
/// its memory stays within some megabytes.
const MAX_QUEUED_LINES: usize = 8_192;
/// Time for which the writer collects lines into one write, to save system calls.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time that the end of the process waits for the writer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// The delay after which a flush is queued again when the queue is full.
const FLUSH_RETRY_DELAY: Duration = Duration::from_millis(2);

/// An entry of the queue to the writer thread.
#[derive(Debug)]
enum Entry {
    Line(Vec<u8>),
    /// Signals that all lines before it are written.
    Flush(SyncSender<()>),
}

/// Queues log lines for a writer thread.
#[derive(Debug)]
struct JsonAppend {
    queue: SyncSender<Entry>,
    writer: Thread,
    dropped: AtomicU64,
}

/// Installs the JSON logger of the process and starts its writer thread.
pub(crate) fn start_json_logs() {
    let (sender, queue) = sync_channel(MAX_QUEUED_LINES);
    let writer = std::thread::Builder::new().name("logs".to_owned());
    let writer = match writer.spawn(move || write_lines(&queue)) {
        Ok(writer) => writer,
        Err(error) => {
            eprintln!(
                "lacewingstiled: cannot start the log thread, so no logs will be written: {error}"
            );
            return;
        }
    };
    let append = JsonAppend {
        queue: sender,
        writer: writer.thread().clone(),
        dropped: AtomicU64::new(0),
    };
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .build();
    // Fails only if a logger is already set, for example by an embedding program.
    let _ = log::set_boxed_logger(Box::new(LogBridge::new(logger)));
    log::set_max_level(log::LevelFilter::Info);
}

/// Writes the lines of the queue until the logger or standard output is closed.
fn write_lines(queue: &Receiver<Entry>) {
    let mut bytes = Vec::new();
    while let Ok(first) = queue.recv() {
        if matches!(first, Entry::Line(_)) {
            // A flush ends the wait.
            std::thread::park_timeout(BATCH_INTERVAL);
        }
        let mut flushed = Vec::new();
        for entry in std::iter::once(first).chain(queue.try_iter()) {
            match entry {
                Entry::Line(line) => bytes.extend_from_slice(&line),
                Entry::Flush(done) => flushed.push(done),
            }
        }
        if std::io::stdout().write_all(&bytes).is_err() {
            // Standard output is closed, and there is no other place to report this.
            return;
        }
        bytes.clear();
        for done in flushed {
            // Fails when the flush has timed out.
            let _ = done.send(());
        }
    }
}

impl Append for JsonAppend {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let line = format_line(record, dropped);
        match self.queue.try_send(Entry::Line(line)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
                Ok(())
            }
        }
    }

    fn flush(&self) -> Result<(), Error> {
        let until = Instant::now() + FLUSH_TIMEOUT;
        let (done, written) = sync_channel(1);
        let mut entry = Entry::Flush(done);
        while Instant::now() < until {
            entry = match self.queue.try_send(entry) {
                Ok(()) => {
                    self.writer.unpark();
                    let wait = until.saturating_duration_since(Instant::now());
                    // The rest of the lines is lost when the reader of standard output is too slow.
                    let _ = written.recv_timeout(wait);
                    return Ok(());
                }
                Err(TrySendError::Full(entry)) => {
                    self.writer.unpark();
                    std::thread::sleep(FLUSH_RETRY_DELAY);
                    entry
                }
                Err(TrySendError::Disconnected(_)) => return Ok(()),
            };
        }
        Ok(())
    }
}

/// Collects the key-value pairs of a record as JSON.
struct Fields(Map<String, Value>);

impl Visitor for Fields {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        let value = if let Some(number) = value.to_u64() {
            Value::from(number)
        } else if let Some(number) = value.to_i64() {
            Value::from(number)
        } else if let Some(number) = value.to_f64() {
            Value::from(number)
        } else if let Some(flag) = value.to_bool() {
            Value::from(flag)
        } else {
            Value::from(value.to_string())
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn format_line(record: &Record, dropped: u64) -> Vec<u8> {
    let mut fields = Fields(Map::new());
    let time = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
    let time_ms = u64::try_from(time.as_millis()).unwrap_or_default();
    fields.0.insert("time_ms".to_owned(), time_ms.into());
    let level = record.level().to_string();
    fields.0.insert("level".to_owned(), level.into());
    let message = record.payload().to_string();
    fields.0.insert("message".to_owned(), message.into());
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("fields".to_owned(), "unreadable".into());
    }
    if dropped > 0 {
        fields.0.insert("dropped_lines".to_owned(), dropped.into());
    }
    let mut line = Value::Object(fields.0).to_string().into_bytes();
    line.push(b'\n');
    line
}
