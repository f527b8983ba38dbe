//! Log lines stay within bounds and never hold up who writes them.

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

/// Keeps what is written.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("kept").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Kept {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().expect("kept").clone()).expect("text")
    }
}

/// Blocks until it is released, as a pipe does that nobody reads.
struct Blocked(Receiver<()>);

impl Write for Blocked {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

const BOUNDS: LogLimits = LogLimits {
    lines_per_event_s: 3,
    waiting_lines: 100,
};

fn put(lines: &LogWriter, second: u64, line: &str) {
    lines.write_line_at(second, format!("{line}\n"));
}

#[test]
fn lines_of_one_event_are_bounded_and_counted_and_leave_room_for_others() {
    let kept = Kept::default();
    let lines = LogWriter::start(kept.clone(), BOUNDS).expect("thread");
    for number in 0..10 {
        put(&lines, 0, &format!("event=busy id={number}"));
    }
    put(&lines, 0, "event=rare id=1");
    put(&lines, 0, "no event at all");
    // The next second has room again, and tells what was left out before.
    put(&lines, 1, "time=t1 event=busy id=10");
    put(&lines, 2, "event=busy id=11");
    lines.flush();
    assert_eq!(
        kept.text(),
        "event=busy id=0\nevent=busy id=1\nevent=busy id=2\nevent=rare id=1\nno event at all\n\
         time=t1 level=WARN event=log_left_out of=busy lines=7\ntime=t1 event=busy id=10\n\
         event=busy id=11\n"
    );
}

#[test]
fn an_output_that_blocks_holds_nobody_up() {
    let (release, blocked): (Sender<()>, _) = channel();
    let bounds = LogLimits {
        lines_per_event_s: 100_000,
        ..BOUNDS
    };
    let lines = LogWriter::start(Blocked(blocked), bounds).expect("thread");
    // Far more than may wait; this would not return if a line waited.
    for number in 0..10_000 {
        put(&lines, 0, &format!("event=busy id={number}"));
    }
    drop(release);
}
