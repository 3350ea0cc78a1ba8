//! What a gateway shows its clients.

use quaypath_nvme::admin::{Group, Kind, View};
use quaypath_settings::Deployment;

/// What this gateway shows its clients: volumes as namespaces, all of one group.
pub struct Face<'a> {
    pub deployment: &'a Deployment,
}

/// Name of the gateway as a subsystem.
pub const SUBSYSTEM: &str = "nqn.2026-12.example.quaypath:gateway";

impl View for Face<'_> {
    fn kind(&self) -> Kind {
        Kind::Io
    }
    fn subsystem(&self) -> &str {
        SUBSYSTEM
    }
    fn namespaces(&self, after: u32) -> Vec<(u32, u64)> {
        let above = self.deployment.volumes.range(after.saturating_add(1)..);
        above.take(1024).map(|(id, volume)| (*id, volume.size)).collect()
    }
    fn blocks(&self, nsid: u32) -> Option<u64> {
        self.deployment.volumes.get(&nsid).map(|volume| volume.size)
    }
    fn groups(&self) -> Vec<Group> {
        vec![(1, quaypath_nvme::admin::ana::OPTIMIZED, self.deployment.volumes.keys().copied().collect())]
    }
    fn retry_delays(&self) -> [f64; 3] {
        [self.deployment.core.max_retry_after, 0.0, 0.0]
    }
}
