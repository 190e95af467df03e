//! Logs as one JSON object a line on the standard output stream.

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

/// The lines that wait for the writer; more are dropped and counted, so that logging never blocks and its memory is
/// bounded to some megabytes.
const MOST_WAITING: usize = 8_192;
/// How long the writer gathers lines before it writes them: one write for many lines saves system calls.
const GATHER: Duration = Duration::from_millis(100);

/// Hands lines to a thread that writes them.
#[derive(Debug)]
struct JsonAppend {
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

/// Starts logging for the process.
pub(crate) fn start_json_logs() {
    let (lines, waiting) = sync_channel::<Vec<u8>>(MOST_WAITING);
    let writer = std::thread::Builder::new().name("logs".to_owned());
    let started = writer.spawn(move || {
        let mut bytes = Vec::new();
        while let Ok(line) = waiting.recv() {
            bytes.extend_from_slice(&line);
            std::thread::sleep(GATHER);
            for line in waiting.try_iter() {
                bytes.extend_from_slice(&line);
            }
            if std::io::stdout().write_all(&bytes).is_err() {
                // Nobody reads the logs, and there is no other place to say so.
                return;
            }
            bytes.clear();
        }
    });
    if let Err(error) = started {
        eprintln!("lacewingstiled: no thread for the logs: {error}");
        return;
    }
    let append = JsonAppend {
        lines,
        dropped: AtomicU64::new(0),
    };
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .build();
    // An error means that a logger is set already, for example by an embedding program.
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
        std::thread::sleep(GATHER + GATHER / 2);
        Ok(())
    }
}

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
