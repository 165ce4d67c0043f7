//! Structured log lines on standard output, without ever waiting for it.
//!
//! Lines collect in a buffer of bounded size, which one thread writes out a few
//! times a second: whoever reads the output can then not delay a request, and a
//! burst of lines costs one system call. Lines that find the buffer full are
//! left out and counted, and the count appears with the next lines.

use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// How much is buffered, in bytes: some hundred lines.
const BUFFER_BYTES: usize = 192 * 1024;

/// How often the buffer is written out.
const PERIOD: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct State {
    lines: Vec<u8>,
    omitted: u64,
}

/// The buffer of a process's log lines.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    state: Arc<Mutex<State>>,
}

/// Starts to log JSON lines to standard output.
#[must_use]
pub fn open() -> Logs {
    let logs = Logs::default();
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
                thread::sleep(PERIOD);
                writer.flush();
            }
        });
    if let Err(e) = spawned {
        eprintln!("logs: start the writer: {e}.");
    }
    logs
}

impl Logs {
    /// Writes out what has collected.
    pub fn flush(&self) {
        let (lines, omitted) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            (mem::take(&mut state.lines), mem::take(&mut state.omitted))
        };
        if lines.is_empty() {
            return;
        }
        let mut out = io::stdout().lock();
        // Nobody is left to be told if standard output is gone.
        let _ = out.write_all(&lines);
        if omitted > 0 {
            let _ = writeln!(
                out,
                r#"{{"level":"WARN","message":"logs: lines left out.","lines":{omitted}}}"#
            );
        }
        let _ = out.flush();
    }

    fn add(&self, line: &[u8]) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.lines.len() + line.len() > BUFFER_BYTES {
            state.omitted += 1;
        } else {
            state.lines.extend_from_slice(line);
        }
    }
}

/// Takes one line.
#[derive(Debug)]
pub struct Line(Logs);

impl Write for Line {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.add(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Logs {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        Line(self.clone())
    }
}
