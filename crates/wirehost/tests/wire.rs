//! The adapter as it is run: batches in, replies and an exit code out.

use std::io::Write;
use std::process::{Command, Stdio};

use test_case::test_case;

const START: &str = "START 5 Balancers=1 Ceilings.MaxAttempts=3 Grades.count=1 Grades.0.Name=read \
    Grades.0.Objective=0.2 Grades.0.Repeat=retryable Policies.count=1 Policies.0.Name=basic New.Key=x";
const LIST: &str = "PEERS_KNOWN 2 1 1\nENTRY 10.0.0.1:5000 hall-a std 0 2 1 -";

/// Runs one batch after the start of `initiator/0`: exit by success, standard output, standard error.
fn run(events: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_quaypath-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let head = format!("CLOCK 0\nEOF_BATCH\nCLOCK 1\nSWITCH_TO initiator/0\n{START}\n{LIST}\nEOF_BATCH\n");
    let text = format!("{head}CLOCK 2\n{events}\n");
    child.stdin.take().unwrap().write_all(text.as_bytes()).unwrap();
    let done = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (done.status.success(), text(done.stdout), text(done.stderr))
}

#[test_case("EOF_BATCH", "OK\nOK\nOK\n" ; "an empty batch")]
#[test_case("SWITCH_TO initiator/0\nREQ 7 0 1 basic read obj:k 0.5 2 p:v 0\nEOF_BATCH",
    "OK\nOK\nBY initiator/0\nSET_TIMER 0.200000 31\nFORWARD 7 2.500000 10.0.0.1:5000\nOK\n" ; "a transaction is sent")]
#[test_case("SWITCH_TO initiator/0\nREQ 7 0 - - read - 0.5 - - 0\nEOF_BATCH",
    "OK\nOK\nBY initiator/0\nSET_TIMER 0.100000 31\nFORWARD 7 2.500000 10.0.0.1:5000\nOK\n" ; "absent fields")]
#[test_case("SWITCH_TO initiator/0\nSHUTDOWN\nSTART 6 Balancers=1 Grades.count=0\nEOF_BATCH",
    "OK\nOK\nOK\n" ; "killed and started in one batch")]
fn answers(events: &str, reply: &str) {
    let (success, out, _) = run(events);
    assert!(success);
    assert_eq!(out, reply);
}

#[test_case("SWITCH_TO initiator/0\nBLINK 1\nEOF_BATCH", "line 11: BLINK: unknown event" ; "an unknown event")]
#[test_case("SWITCH_TO initiator/0\nRING x\nEOF_BATCH", "line 11: RING: field Tag: cannot read 'x'" ; "a bad field")]
#[test_case("SWITCH_TO initiator/0\nLAPSED 1 2\nEOF_BATCH", "line 11: LAPSED: 2 fields, 1 expected" ; "a field too many")]
#[test_case("SWITCH_TO initiator/0\nPEER 2 6x\nEOF_BATCH", "line 11: PEER: field Payload: cannot read '6x'" ; "a bad payload")]
#[test_case("RING 1\nEOF_BATCH", "line 10: RING: no SWITCH_TO before it" ; "nobody named")]
#[test_case("SWITCH_TO initiator/3\nRING 1\nEOF_BATCH", "line 11: RING: initiator/3 has not started" ; "not started")]
#[test_case("SWITCH_TO initiator/1\nSTART 5 Grades.count=0\nEOF_BATCH",
    "line 11: START: field Params: setting Balancers is missing" ; "a setting is missing")]
fn says_what_is_malformed(events: &str, message: &str) {
    let (success, _, err) = run(events);
    assert!(!success);
    assert_eq!(err.trim_end(), format!("quaypath-wirehost: {message}"));
}

/// Two initiators that may talk, a volume of a plan with a limit through both: one tells the other that it shares it, in
/// a signal of version 1, and noise in a signal's place changes nothing.
#[test]
fn signals_go_out_and_come_in_where_peers_are_allowed() {
    let start = |me: u8| {
        let allowed = "Ceilings.Peers=true Policies.0.Cap=10 Policies.0.MostAtOnce=20";
        let start = START.replace("Balancers=1", &format!("Balancers=2 Me={me} {allowed}"));
        format!("SWITCH_TO initiator/{me}\nSHUTDOWN\n{start}\n{LIST}\n")
    };
    let ask = "REQ 7 0 2 basic read obj:k 0.5 2 p:v 0";
    let first = format!(
        "{}{}SWITCH_TO initiator/0\n{ask}\nSWITCH_TO initiator/1\n{ask}\nEOF_BATCH",
        start(1),
        start(0)
    );
    let first = first.replacen("SWITCH_TO initiator/1\nSHUTDOWN\n", "SWITCH_TO initiator/1\n", 1);
    let noise = "CLOCK 3\nSWITCH_TO initiator/0\nPEER 1 ff00ff\nPEER 1 \nPEER 9 0100\nEOF_BATCH";
    let (success, out, err) = run(&format!("{first}\n{noise}"));
    assert!(success, "{err}");
    let signals: Vec<&str> = out.lines().filter(|line| line.starts_with("SIGNAL ")).collect();
    assert!(signals.iter().any(|line| line.starts_with("SIGNAL 1 01")), "{out}");
    assert!(signals.iter().all(|line| line.len() <= "SIGNAL 1 ".len() + 512), "{out}");
    assert!(!out.contains("FATAL"), "{out}");
    // Where they are not allowed nothing is said, and no timer runs for it.
    let (_, out, _) = run(&format!("SWITCH_TO initiator/0\n{ask}\nEOF_BATCH"));
    assert!(!out.contains("SIGNAL") && !out.contains("9223372036854775807"), "{out}");
}
