//! Tests that the settings determine the placement of logical blocks and the band of commands.

use quaypath_initiator::index::{Index, Place};
use quaypath_settings::deployment;
use test_case::test_case;

/// The sample deployment `rail.xml` with explicit placements in volume 1 and with band rules.
fn sample_deployment() -> quaypath_settings::Deployment {
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

// Extents of the layout have 256 logical blocks; the extents of volume 1 lie on nodes 7, 0 and 1 in turn.
#[test_case(0, Some((7, 256)); "placed by the layout")]
#[test_case(256, Some((0, 44)); "the extent ends at an explicit range")]
#[test_case(300, Some((5, 100)); "the first block of an explicit range")]
#[test_case(399, Some((5, 1)); "the last block of an explicit range")]
#[test_case(400, Some((0, 112)); "the layout's extent continues after an explicit range")]
#[test_case(512, Some((1, 256)); "the next extent of the layout")]
#[test_case(1010, Some((6, 14)); "the middle of an explicit range")]
#[test_case((1 << 20) - 1, Some((7, 1)); "the last block of the volume")]
#[test_case(1 << 20, None; "one block past the end of the volume")]
#[test_case(u64::MAX, None; "far past the end of the volume")]
fn the_settings_determine_the_placement_of_a_block(slba: u64, expected: Option<(i64, u64)>) {
    let deployment = sample_deployment();
    let place = Index::new(&deployment).place(&deployment, 1, slba);
    assert_eq!(place.map(|Place { block, remaining, .. }| (block, remaining)), expected);
}

#[test_case(5, 4096, false, "look-up"; "a small read")]
#[test_case(5, 65536, false, "export"; "a large read")]
#[test_case(202, 512, false, "export"; "any read of the volumes of a rule")]
#[test_case(202, 512, true, "purchase"; "a rule for reads does not apply to writes")]
fn band_rules_apply_to_commands_without_a_band(volume: u32, bytes: u32, writes: bool, expected: &str) {
    let deployment = sample_deployment();
    let band = deployment.band_of(volume, bytes, writes).unwrap();
    assert_eq!(deployment.band_names[band], expected);
}
