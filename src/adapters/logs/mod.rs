//! Writes structured log lines to standard output without blocking.
//!
//! Lines are appended to a buffer of bounded size, which a thread writes out a
//! few times a second. A slow reader of the output therefore cannot delay a
//! request, and a burst of lines costs one system call. Lines that do not fit
//! into the buffer are dropped and counted, and the count is logged with the next
//! lines.

use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

use crate::domain::lock;

/// The size of the buffer, which holds a few hundred lines.
const MAX_BUFFER_BYTES: usize = 192 * 1024;

/// The interval at which the buffer is written out.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct State {
    lines: Vec<u8>,
    dropped: u64,
}

/// A buffer of log lines. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    state: Arc<Mutex<State>>,
}

/// Installs the global subscriber, which logs JSON lines to standard output. The
/// filter is read from `SAVORYBEAM_LOG` and defaults to `info`.
#[must_use]
pub fn open() -> LogBuffer {
    let logs = LogBuffer::default();
    let filter = EnvFilter::try_from_env("SAVORYBEAM_LOG");
    let filter = filter.unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt().with_env_filter(filter).json();
    let lines = lines.flatten_event(true).with_target(false);
    lines.with_writer(logs.clone()).init();
    let writer = logs.clone();
    let spawned = thread::Builder::new()
        .name("logs".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || {
            loop {
                thread::sleep(FLUSH_INTERVAL);
                writer.flush();
            }
        });
    if let Err(e) = spawned {
        eprintln!("logs: start the thread that writes the buffer: {e}.");
    }
    logs
}

impl LogBuffer {
    /// Writes out the buffered lines.
    pub fn flush(&self) {
        let (lines, dropped) = {
            let mut state = lock(&self.state);
            (mem::take(&mut state.lines), mem::take(&mut state.dropped))
        };
        if lines.is_empty() {
            return;
        }
        let mut out = io::stdout().lock();
        // If standard output is closed, the error cannot be reported anywhere.
        let _ = out.write_all(&lines);
        if dropped > 0 {
            let _ = writeln!(
                out,
                r#"{{"level":"WARN","message":"logs: lines left out.","lines":{dropped}}}"#
            );
        }
        let _ = out.flush();
    }

    fn append_line(&self, line: &[u8]) {
        let mut state = lock(&self.state);
        if state.lines.len() + line.len() > MAX_BUFFER_BYTES {
            state.dropped += 1;
        } else {
            state.lines.extend_from_slice(line);
        }
    }
}

/// A writer that appends each line to the buffer.
#[derive(Debug)]
pub struct LineWriter(LogBuffer);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.append_line(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter(self.clone())
    }
}
