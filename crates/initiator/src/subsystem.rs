//! The NVMe subsystem that a gateway presents to its clients.

use quaypath_nvme::admin::{Group, Kind, View};
use quaypath_settings::Deployment;

/// Presents the volumes of a deployment as namespaces of one subsystem, all in one ANA group.
pub struct GatewaySubsystem<'a> {
    pub deployment: &'a Deployment,
}

/// NVMe qualified name of the gateway's subsystem.
pub const SUBSYSTEM_NQN: &str = "nqn.2026-12.example.quaypath:gateway";

impl View for GatewaySubsystem<'_> {
    fn kind(&self) -> Kind {
        Kind::Io
    }
    fn subsystem(&self) -> &str {
        SUBSYSTEM_NQN
    }
    fn namespaces(&self, after: u32) -> Vec<(u32, u64)> {
        let following = self.deployment.volumes.range(after.saturating_add(1)..);
        following.take(1024).map(|(id, volume)| (*id, volume.size)).collect()
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
