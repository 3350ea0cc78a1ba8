//! Writes seeds for the fuzz targets, made by our own encoder: `cargo run -p quaypath-nvme --example seeds fuzz/corpus`.

use std::path::Path;

use quaypath_nvme::admin;
use quaypath_nvme::command::{connect_data, opcode, Cqe, Marks, Sqe, ANY_CONTROLLER, CONNECT_LEN};
use quaypath_nvme::pdu::{DataPart, Format, Pdu};

fn main() -> std::io::Result<()> {
    let to = std::env::args().nth(1).unwrap_or_else(|| "fuzz/corpus".into());
    let part = |length: usize, last, success| DataPart {
        cid: 0,
        ttag: 0,
        offset: 0,
        last,
        success,
        data: vec![7; length],
    };
    let connect = Sqe::connect(1, 8, 0).with_data(CONNECT_LEN, true);
    let write = Marks { band: 2, units: 1, mark: 256, ..Marks::default() }
        .put(Sqe::transfer(opcode::WRITE, 1, 0, 8).with_data(4096, true));
    let up = [
        Pdu::IcReq { pfv: 0, hpda: 0, digest: 0, max_r2t: 0 },
        Pdu::Command { sqe: connect, data: connect_data([1; 16], ANY_CONTROLLER, "s", "h") },
        Pdu::Command { sqe: Sqe { cid: 1, ..write }, data: vec![3; 4096] },
        Pdu::Command {
            sqe: Sqe { cid: 2, ..Sqe::transfer(opcode::WRITE, 1, 0, 64).with_data(32768, false) },
            data: vec![],
        },
        Pdu::H2cData(DataPart { cid: 2, ttag: 2, ..part(32768, true, false) }),
        Pdu::Command { sqe: Sqe { cid: 3, ..admin::identify(1, 0) }, data: vec![] },
        Pdu::H2cTerm { status: 2, info: 0 },
    ];
    let down = [
        Pdu::IcResp { pfv: 0, cpda: 0, digest: 0, max_h2c: 131072 },
        Pdu::Response(Cqe::default()),
        Pdu::R2t { cid: 1, ttag: 1, offset: 0, length: 16384 },
        Pdu::C2hData(DataPart { cid: 2, ..part(4096, true, false) }),
        Pdu::Response(Cqe { cid: 2, ..Cqe::default() }),
        Pdu::C2hData(part(512, true, true)),
        Pdu::C2hTerm { status: 1, info: 4 },
    ];
    for digest in 0..4u8 {
        let format = Format::of(digest, 0);
        for (name, pdus, prefix) in
            [("controller", &up, 1), ("host", &down, 1), ("decoder", &up, 2), ("decoder", &down, 2)]
        {
            let folder = Path::new(&to).join(name);
            std::fs::create_dir_all(&folder)?;
            for count in 1..=pdus.len() {
                let mut bytes = vec![digest | 0xf8, 50][..prefix].to_vec();
                pdus[..count].iter().for_each(|pdu| pdu.encode_in(format, &mut bytes));
                std::fs::write(
                    folder.join(format!("{name}-{}-{digest}-{count}", pdus.len() + prefix)),
                    bytes,
                )?;
            }
        }
    }
    Ok(())
}
