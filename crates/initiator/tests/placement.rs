//! Where blocks lie, and which band a command is of, by the settings.

use quaypath_initiator::index::{Index, Place};
use quaypath_settings::deployment;
use test_case::test_case;

/// The rail sample with ranges of their own in volume 1, and band rules.
fn sample() -> quaypath_settings::Deployment {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/samples/rail.xml"))
        .unwrap();
    let text = text.replacen("<volumes ", "<band-rule band=\"export\" least=\"65536\"/><band-rule band=\"export\" first=\"201\" last=\"203\"/><volumes ", 1);
    let text = text.replace(
        "</deployment>",
        "<placement volume=\"1\" from=\"300\" blocks=\"100\" node=\"5\"/><placement volume=\"1\" from=\"1000\" blocks=\"24\" node=\"6\"/></deployment>",
    );
    let path = std::env::temp_dir().join(format!(
        "quaypath-placement-{}-{:?}.xml",
        std::process::id(),
        std::thread::current().id()
    ));
    std::fs::write(&path, text).unwrap();
    let loaded = deployment(&path);
    std::fs::remove_file(&path).unwrap();
    loaded.unwrap()
}

// Extents of the layout are 256 blocks; volume 1 lies on nodes 7, 0 and 1 in turn.
#[test_case(0, Some((7, 256)); "by arithmetic")]
#[test_case(256, Some((0, 44)); "up to a range of its own")]
#[test_case(300, Some((5, 100)); "the start of a range")]
#[test_case(399, Some((5, 1)); "its last block")]
#[test_case(400, Some((0, 112)); "behind it, the layout's extent goes on")]
#[test_case(512, Some((1, 256)); "the next extent")]
#[test_case(1010, Some((6, 14)); "the middle of a range")]
#[test_case((1 << 20) - 1, Some((7, 1)); "the last block")]
#[test_case(1 << 20, None; "past the end")]
#[test_case(u64::MAX, None; "far past the end")]
fn a_block_lies_where_the_settings_say(slba: u64, expected: Option<(i64, u64)>) {
    let deployment = sample();
    let found = Index::new(&deployment).place(&deployment, 1, slba);
    assert_eq!(found.map(|Place { block, remaining, .. }| (block, remaining)), expected);
}

#[test_case(5, 4096, false, "look-up"; "a small read")]
#[test_case(5, 65536, false, "export"; "a large read")]
#[test_case(202, 512, false, "export"; "any read of some volumes")]
#[test_case(202, 512, true, "purchase"; "a rule for reads is none for writes")]
fn a_command_that_says_no_band_has_one_by_rule(volume: u32, bytes: u32, writes: bool, expected: &str) {
    let deployment = sample();
    let band = deployment.band_of(volume, bytes, writes).unwrap();
    assert_eq!(deployment.band_names[band], expected);
}
