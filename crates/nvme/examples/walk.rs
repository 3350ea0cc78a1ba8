//! Prints the bytes of one whole exchange, both directions, as `docs/protocol.md` walks it.

use quaypath_nvme::admin::{identify, property, property_set, CC_ON};
use quaypath_nvme::command::{opcode, Cqe, Marks, Sqe, Told, ANY_CONTROLLER};
use quaypath_nvme::controller::{Controller, Event};
use quaypath_nvme::host::Host;

fn show(from: &str, bytes: &[u8]) {
    println!("{from}: {} bytes", bytes.len());
    for (at, line) in bytes.chunks(16).enumerate().take(8) {
        let hex: Vec<String> = line.iter().map(|byte| format!("{byte:02x}")).collect();
        println!("  {:04x}  {}", 16 * at, hex.join(" "));
    }
}

fn main() {
    let mut host = Host::start(0, 32, ANY_CONTROLLER, "nqn.example:gateway", "nqn.example:client:0");
    let (mut controller, mut events) = (Controller::default(), Vec::new());
    let marks = Marks { band: 1, units: 1, mark: 0x100, key: 3, budget_ms: 1200, ..Marks::default() };
    let read = marks.put(Sqe::transfer(opcode::READ, 1, 0x10, 1));
    let mut commands =
        vec![(property_set(property::CC, CC_ON), 0), (identify(1, 0), 4096), (read, 512)].into_iter();
    loop {
        let up = std::mem::take(&mut host.out);
        if up.is_empty() {
            let Some((sqe, expected)) = commands.next() else { return };
            let (_, bytes) = host.submit(sqe, Vec::new(), expected).expect("room");
            host.out.extend(bytes);
            continue;
        }
        show("host", &up);
        let mut asked = Vec::new();
        controller.feed(&up, &mut asked).expect("a host of our own");
        for event in asked {
            match event {
                Event::Connect { .. } => controller.accept(1),
                Event::Command { sqe, .. } => {
                    let mut cqe = Cqe { cid: sqe.cid, ..Cqe::default() };
                    if sqe.opcode == opcode::READ {
                        Told { latency: 0.0123, used: 0, others: 4 }.put(&mut cqe);
                    }
                    let length = if sqe.opcode == opcode::READ { 512 } else { 4096 };
                    let data = vec![0xd7; if sqe.opcode == opcode::FABRICS { 0 } else { length }];
                    controller.respond(cqe, &data);
                }
                Event::Terminated { .. } => return,
            }
        }
        let down = std::mem::take(&mut controller.out);
        show("controller", &down);
        host.feed(&down, &mut events).expect("a controller of our own");
    }
}
