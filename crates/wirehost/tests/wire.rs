//! Runs the adapter as a process: sends batches and checks the replies, the error output and the exit code.

use std::io::Write;
use std::process::{Command, Stdio};

use test_case::test_case;

const START: &str = "START 5 Balancers=1 Ceilings.MaxAttempts=3 Grades.count=1 Grades.0.Name=read \
    Grades.0.Objective=0.2 Grades.0.Repeat=retryable Policies.count=1 Policies.0.Name=basic New.Key=x";
const LIST: &str = "PEERS_KNOWN 2 1 1\nENTRY 10.0.0.1:5000 hall-a std 0 2 1 -";

/// Starts `initiator/0` in one batch and sends these events as the next one. Returns whether the process succeeded,
/// its standard output and its standard error.
fn run(events: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_quaypath-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let first_batches =
        format!("CLOCK 0\nEOF_BATCH\nCLOCK 1\nSWITCH_TO initiator/0\n{START}\n{LIST}\nEOF_BATCH\n");
    let text = format!("{first_batches}CLOCK 2\n{events}\n");
    child.stdin.take().unwrap().write_all(text.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.success(), text(output.stdout), text(output.stderr))
}

#[test_case("EOF_BATCH", "OK\nOK\nOK\n" ; "an empty batch")]
#[test_case("SWITCH_TO initiator/0\nREQ 7 0 1 basic read obj:k 0.5 2 p:v 0\nEOF_BATCH",
    "OK\nOK\nBY initiator/0\nSET_TIMER 0.200000 31\nFORWARD 7 2.500000 10.0.0.1:5000\nOK\n" ; "a transaction is sent")]
#[test_case("SWITCH_TO initiator/0\nREQ 7 0 - - read - 0.5 - - 0\nEOF_BATCH",
    "OK\nOK\nBY initiator/0\nSET_TIMER 0.100000 31\nFORWARD 7 2.500000 10.0.0.1:5000\nOK\n" ; "absent fields")]
#[test_case("SWITCH_TO initiator/0\nSHUTDOWN\nSTART 6 Balancers=1 Grades.count=0\nEOF_BATCH",
    "OK\nOK\nOK\n" ; "killed and started in one batch")]
fn replies_to(events: &str, reply: &str) {
    let (success, out, _) = run(events);
    assert!(success);
    assert_eq!(out, reply);
}

// Guards against a zone that is not passed on: a tagged transaction may be repeated in the zone of its first shot only.
#[test_case("hall-b", "FINISH_ERROR 7" ; "replaced in another zone")]
#[test_case("hall-a", "FORWARD 7 2.500000 10.0.0.2:5000" ; "replaced in the same zone")]
fn a_tagged_transaction_after_its_node_was_replaced(zone: &str, action: &str) {
    let start = START.replace(
        "Grades.0.Repeat=retryable",
        "Grades.0.Repeat=dedup Grades.0.DedupScope=zone Grades.0.Window=5",
    );
    let (success, out, err) = run(&format!(
        "SWITCH_TO initiator/1\n{start}\n{LIST}\nREQ 7 0 1 basic read obj:k 0.5 2 p:v 0\n\
         PEERS_KNOWN 0 2 1\nENTRY 10.0.0.2:5000 {zone} std 0 2 1 -\n\
         RETURNED 7 10.0.0.1:5000 0 0 0.05 0 ResetByPeer 0 -\nEOF_BATCH"
    ));
    assert!(success, "{err}");
    let last_actions: Vec<_> = out
        .lines()
        .filter(|line| line.starts_with("FINISH") || line.starts_with("FORWARD"))
        .skip(1)
        .collect();
    assert_eq!(last_actions, [action]);
}

#[test_case("SWITCH_TO initiator/0\nBLINK 1\nEOF_BATCH", "line 11: BLINK: unknown event" ; "an unknown event")]
#[test_case("SWITCH_TO initiator/0\nRING x\nEOF_BATCH", "line 11: RING: field Tag: cannot read 'x'" ; "a bad field")]
#[test_case("SWITCH_TO initiator/0\nLAPSED 1 2\nEOF_BATCH", "line 11: LAPSED: 2 fields, 1 expected" ; "a field too many")]
#[test_case("SWITCH_TO initiator/0\nPEER 2 6x\nEOF_BATCH", "line 11: PEER: field Payload: cannot read '6x'" ; "a bad payload")]
#[test_case("RING 1\nEOF_BATCH", "line 10: RING: no SWITCH_TO before it" ; "no initiator selected")]
#[test_case("SWITCH_TO initiator/3\nRING 1\nEOF_BATCH", "line 11: RING: initiator/3 has not started" ; "not started")]
#[test_case("SWITCH_TO initiator/1\nSTART 5 Grades.count=0\nEOF_BATCH",
    "line 11: START: field Params: setting Balancers is missing" ; "a setting is missing")]
fn reports_malformed_input(events: &str, message: &str) {
    let (success, _, err) = run(events);
    assert!(!success);
    assert_eq!(err.trim_end(), format!("quaypath-wirehost: {message}"));
}

/// Two initiators that may communicate share a volume with a limit: one reports this to the other in a signal of
/// version 1. Malformed signals change nothing.
#[test]
fn signals_are_exchanged_if_peers_are_allowed() {
    let start = |own_number: u8| {
        let allowed = "Ceilings.Peers=true Policies.0.Cap=10 Policies.0.MostAtOnce=20";
        let start = START.replace("Balancers=1", &format!("Balancers=2 Me={own_number} {allowed}"));
        format!("SWITCH_TO initiator/{own_number}\nSHUTDOWN\n{start}\n{LIST}\n")
    };
    let request = "REQ 7 0 2 basic read obj:k 0.5 2 p:v 0";
    let first = format!(
        "{}{}SWITCH_TO initiator/0\n{request}\nSWITCH_TO initiator/1\n{request}\nEOF_BATCH",
        start(1),
        start(0)
    );
    let first = first.replacen("SWITCH_TO initiator/1\nSHUTDOWN\n", "SWITCH_TO initiator/1\n", 1);
    let malformed = "CLOCK 3\nSWITCH_TO initiator/0\nPEER 1 ff00ff\nPEER 1 \nPEER 9 0100\nEOF_BATCH";
    let (success, out, err) = run(&format!("{first}\n{malformed}"));
    assert!(success, "{err}");
    let signals: Vec<&str> = out.lines().filter(|line| line.starts_with("SIGNAL ")).collect();
    assert!(signals.iter().any(|line| line.starts_with("SIGNAL 1 01")), "{out}");
    assert!(signals.iter().all(|line| line.len() <= "SIGNAL 1 ".len() + 512), "{out}");
    assert!(!out.contains("FATAL"), "{out}");
    // If they are not allowed, no signal is sent and no timer is set for signals.
    let (_, out, _) = run(&format!("SWITCH_TO initiator/0\n{request}\nEOF_BATCH"));
    assert!(!out.contains("SIGNAL") && !out.contains("9223372036854775807"), "{out}");
}
