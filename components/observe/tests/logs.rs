//! The writer of log lines: few calls of the output, and errors of the output harm no
//! later line.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use observe::logs::GatheringWriter;

#[derive(Clone, Default)]
struct Output(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    /// What each call has written.
    calls: Vec<Vec<u8>>,
    fails: bool,
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut state = self.0.lock().unwrap();
        if state.fails {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        state.calls.push(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Calls of 64 KiB lost a third of an owner's lines: what read them took 8 KiB of each.
#[test]
fn gathered_lines_are_written_in_few_calls_of_whole_lines_that_fit_a_pipe() {
    let output = Output::default();
    let mut writer = GatheringWriter::new(output.clone());
    let line = |number: usize| format!("{number:0>199}\n");
    for number in 0..100 {
        writer.write_all(line(number).as_bytes()).unwrap();
    }
    writer.flush().unwrap();
    let state = output.0.lock().unwrap();
    let expected: String = (0..100).map(line).collect();
    assert_eq!(state.calls.concat(), expected.as_bytes());
    // 20 lines of 200 bytes fit into the 4,096 bytes that a pipe takes as a whole.
    assert_eq!(state.calls.len(), 5);
    for call in &state.calls {
        assert!(call.len() <= 4_096 && call.ends_with(b"\n"));
    }
}

#[test]
fn a_line_longer_than_a_call_is_written_whole() {
    let output = Output::default();
    let mut writer = GatheringWriter::new(output.clone());
    let long = format!("{}\n", "x".repeat(10_000));
    writer.write_all(b"short\n").unwrap();
    writer.write_all(long.as_bytes()).unwrap();
    writer.flush().unwrap();
    let expected = format!("short\n{long}");
    assert_eq!(output.0.lock().unwrap().calls.concat(), expected.as_bytes());
}

#[test]
fn lines_after_a_failure_of_the_output_are_written() {
    let output = Output::default();
    let mut writer = GatheringWriter::new(output.clone());
    output.0.lock().unwrap().fails = true;
    writer.write_all(b"one\n").unwrap();
    assert!(writer.flush().is_err());
    output.0.lock().unwrap().fails = false;
    writer.write_all(b"two\n").unwrap();
    writer.flush().unwrap();
    assert_eq!(output.0.lock().unwrap().calls.concat(), b"one\ntwo\n");
}
