//! A small deployment and loads upon it, for tests: two bands, two plans, eight volumes on two nodes.

use std::sync::atomic::{AtomicU32, Ordering};

use quaypath_settings::Loaded;

/// Elements of a load; what a test does not change stays plain.
pub struct Text {
    pub open: String,
    pub shape: String,
    pub draws: String,
    pub lead: String,
    pub callers: String,
    pub bounds: String,
    pub benefit: String,
    pub seed: u64,
    pub lasts: f64,
    pub warm_up: f64,
    pub retries: u32,
}

impl Default for Text {
    fn default() -> Self {
        Text {
            open: "<open process='poisson' rate='400'/>".into(),
            shape: String::new(),
            draws: String::new(),
            lead: String::new(),
            callers: String::new(),
            bounds: "<bounds open='100000' behind='5' lag='0.01' queues='2'/>".into(),
            benefit: "<benefit share='0.3' rest='0.05' late='0.15' spare='100'/>".into(),
            seed: 7,
            lasts: 10.0,
            warm_up: 0.0,
            retries: 0,
        }
    }
}

const DEPLOYMENT: &str = r#"<deployment name="small">
  <listen address="127.0.0.1:0" connections="64" open="2048"/>
  <register address="127.0.0.1:1" mode="pushed"/>
  <connections connect="0.5" idle="30" half-pdu="5"/>
  <allow shots="4" cancel="true" copies="false" longest-return="0.5"/>
  <rules answer-slack="0.1" drain-grace="2" start-capacity="0.2" cold-for="12" fall-multiple="2" overload-for="1"
         young-units="10" key-quiet="0"/>
  <units mean="2" most="6" metering="0"/>
  <layout initiators="4" nodes="2" zones="1" extent-blocks="256"/>
  <band name="look-up" due="0.2" outer="8" benefit="3" repeat="repeatable" writes="false"/>
  <band name="purchase" due="0.3" outer="8" benefit="3" repeat="once-only" writes="true"/>
  <plan name="basic" nominal="6" reservation="0" weight="1" factor="0.8"/>
  <plan name="gold" nominal="15" reservation="12" weight="4" factor="1.5"/>
  <volumes plan="basic" first="1" count="5" initiators="2" nodes="2"/>
  <volumes plan="gold" first="101" count="3" initiators="3" nodes="2"/>
</deployment>"#;

impl Text {
    pub fn xml(&self) -> String {
        let Text { open, shape, draws, lead, callers, bounds, benefit, seed, lasts, warm_up, retries } = self;
        let share = if open.starts_with("<recorded") {
            String::new()
        } else {
            "<share band='look-up' part='0.7'/><share band='purchase' part='0.3'/>".into()
        };
        format!(
            "<load name='small' deployment='deployment.xml' seed='{seed}' lasts='{lasts}' warm-up='{warm_up}' \
             interval='1' retries='{retries}'>\n{open}{shape}{share}{draws}{lead}{callers}{bounds}{benefit}\n</load>"
        )
    }
}

/// Writes both files into a folder of their own.
pub fn files(text: &Text) -> std::path::PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("quaypath-load-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("deployment.xml"), DEPLOYMENT).unwrap();
    std::fs::write(folder.join("load.xml"), text.xml()).unwrap();
    folder
}

pub fn load(text: &Text) -> Loaded {
    let folder = files(text);
    let loaded = quaypath_settings::load(&folder.join("load.xml")).unwrap();
    let _ = std::fs::remove_dir_all(folder);
    loaded
}
