//! The decoder alone: PDUs a second on one core, read as the gateway reads them, 64 KiB at a time.

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use quaypath_nvme::command::{opcode, Cqe, Sqe};
use quaypath_nvme::pdu::{DataPart, Decoder, Format, Pdu};

fn bench(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decode");
    let data = |length: usize| {
        Pdu::C2hData(DataPart {
            cid: 1,
            ttag: 0,
            offset: 0,
            last: true,
            success: false,
            data: vec![3; length],
        })
    };
    let command = Pdu::Command { sqe: Sqe::transfer(opcode::READ, 1, 0, 8), data: vec![] };
    let response = Pdu::Response(Cqe::default());
    for (name, pdu, digest) in [
        ("read command", &command, 0),
        ("response", &response, 0),
        ("response, digest", &response, 3),
        ("4 KiB data", &data(4096), 0),
        ("4 KiB data, digests", &data(4096), 3),
        ("64 KiB data", &data(65536), 0),
    ] {
        let (format, mut bytes) = (Format::of(digest, 0), Vec::new());
        (0..200).for_each(|_| pdu.encode_in(format, &mut bytes));
        group.throughput(Throughput::Elements(200));
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                let mut decoder = Decoder::default();
                decoder.agree(format);
                let mut count = 0;
                for piece in bytes.chunks(65536) {
                    decoder.feed(piece);
                    while let Ok(Some(_)) = decoder.next_pdu() {
                        count += 1;
                    }
                }
                assert_eq!(count, 200);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
