//! Logs to standard output, one JSON object per line.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, UNIX_EPOCH};

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

/// Queues log lines for a writer thread.
#[derive(Debug)]
struct JsonAppend {
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

/// Installs the JSON logger of the process and starts its writer thread.
pub(crate) fn start_json_logs() {
    let (lines, queue) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
    let writer = std::thread::Builder::new().name("logs".to_owned());
    let started = writer.spawn(move || {
        let mut bytes = Vec::new();
        while let Ok(line) = queue.recv() {
            bytes.extend_from_slice(&line);
            std::thread::sleep(BATCH_INTERVAL);
            for line in queue.try_iter() {
                bytes.extend_from_slice(&line);
            }
            if std::io::stdout().write_all(&bytes).is_err() {
                // Standard output is closed, and there is no other place to report this.
                return;
            }
            bytes.clear();
        }
    });
    if let Err(error) = started {
        eprintln!(
            "lacewingstiled: cannot start the log thread, so no logs will be written: {error}"
        );
        return;
    }
    let append = JsonAppend {
        lines,
        dropped: AtomicU64::new(0),
    };
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .build();
    // Fails only if a logger is already set, for example by an embedding program.
    let _ = log::set_boxed_logger(Box::new(LogBridge::new(logger)));
    log::set_max_level(log::LevelFilter::Info);
}

impl Append for JsonAppend {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let line = format_line(record, dropped);
        match self.lines.try_send(line) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
                Ok(())
            }
        }
    }

    fn flush(&self) -> Result<(), Error> {
        // The writer thread signals no completion; it writes the queued lines after at most one batch interval.
        std::thread::sleep(BATCH_INTERVAL + BATCH_INTERVAL / 2);
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
