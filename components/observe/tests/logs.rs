//! Log lines on their way to the output.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    time::Duration,
};

use observe::logs::queue_lines;

#[derive(Clone, Default)]
struct Output(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    /// What each call has tried to write.
    calls: Vec<Vec<u8>>,
    written: Vec<u8>,
    fails: bool,
}

impl Output {
    fn wait_until(&self, is_met: impl Fn(&State) -> bool) {
        while !is_met(&self.0.lock().unwrap()) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut state = self.0.lock().unwrap();
        state.calls.push(buf.to_vec());
        if state.fails {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        state.written.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines that were gathered in calls of 64 KiB lost a third of an owner's log, since what
/// read them took 8 KiB of each.
#[test]
fn each_line_is_written_by_a_call_of_its_own() {
    let output = Output::default();
    let (mut writer, guard) = queue_lines(output.clone());
    let lines: Vec<Vec<u8>> = (0..1_000).map(|n| format!("{n:0>199}\n").into()).collect();
    for line in &lines {
        writer.write_all(line).unwrap();
    }
    output.wait_until(|state| state.calls.len() >= lines.len());
    drop(guard);
    assert_eq!(output.0.lock().unwrap().calls, lines);
}

#[test]
fn lines_after_a_failure_of_the_output_are_written() {
    let output = Output::default();
    output.0.lock().unwrap().fails = true;
    let (mut writer, guard) = queue_lines(output.clone());
    writer.write_all(b"one\n").unwrap();
    output.wait_until(|state| !state.calls.is_empty());
    output.0.lock().unwrap().fails = false;
    writer.write_all(b"two\n").unwrap();
    output.wait_until(|state| !state.written.is_empty());
    drop(guard);
    assert_eq!(output.0.lock().unwrap().written, b"two\n");
}
