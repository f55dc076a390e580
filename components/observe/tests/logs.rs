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
    calls: usize,
    written: Vec<u8>,
    fails: bool,
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut state = self.0.lock().unwrap();
        state.calls += 1;
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

#[test]
fn lines_that_have_gathered_are_written_in_one_call() {
    let output = Output::default();
    let mut writer = GatheringWriter::new(output.clone());
    for number in 0..100 {
        writeln!(writer, "line {number}").unwrap();
    }
    writer.flush().unwrap();
    let state = output.0.lock().unwrap();
    assert_eq!(state.calls, 1);
    assert_eq!(
        state.written.iter().filter(|byte| **byte == b'\n').count(),
        100
    );
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
    assert_eq!(output.0.lock().unwrap().written, b"one\ntwo\n");
}
