//! The log writer limits the volume of log lines and never blocks the threads
//! that log.

use {
    sapphirequayd::{LogLimits, LogWriter},
    std::{
        io::{self, Write},
        sync::{
            Arc, Mutex,
            mpsc::{Receiver, Sender, channel},
        },
    },
};

/// Captures the output in memory.
#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl Write for Captured {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("unpoisoned lock")
            .extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Captured {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().expect("unpoisoned lock").clone()).expect("text")
    }
}

/// Output that blocks until the sender is dropped, like a pipe without a reader.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

const LIMITS: LogLimits = LogLimits {
    lines_per_event_s: 3,
    waiting_lines: 100,
};

fn write_line(writer: &LogWriter, second: u64, line: &str) {
    writer.write_line_at(second, format!("{line}\n"));
}

#[test]
fn lines_of_one_event_are_limited_and_counted_without_affecting_other_events() {
    let captured = Captured::default();
    let writer = LogWriter::start(captured.clone(), LIMITS).expect("start the log writer");
    for number in 0..10 {
        write_line(&writer, 0, &format!("event=busy id={number}"));
    }
    write_line(&writer, 0, "event=rare id=1");
    write_line(&writer, 0, "no event at all");
    // The limit starts afresh in the next second, whose first line is preceded
    // by a report of the lines dropped before.
    write_line(&writer, 1, "time=t1 event=busy id=10");
    write_line(&writer, 2, "event=busy id=11");
    // The thread of the writer may start later than one flush waits.
    while !writer.flush() {}
    assert_eq!(
        captured.text(),
        "event=busy id=0\nevent=busy id=1\nevent=busy id=2\nevent=rare id=1\nno event at all\n\
         time=t1 level=WARN event=log_left_out of=busy lines=7\ntime=t1 event=busy id=10\n\
         event=busy id=11\n"
    );
}

#[test]
fn an_output_that_blocks_does_not_block_logging() {
    let (release, blocked): (Sender<()>, _) = channel();
    let limits = LogLimits {
        lines_per_event_s: 100_000,
        ..LIMITS
    };
    let writer = LogWriter::start(BlockedOutput(blocked), limits).expect("start the log writer");
    // Far more lines than the queue holds: the loop would not end if a full
    // queue blocked.
    for number in 0..10_000 {
        write_line(&writer, 0, &format!("event=busy id={number}"));
    }
    drop(release);
}
