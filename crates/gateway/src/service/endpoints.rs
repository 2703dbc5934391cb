//! The endpoint list: what discovery says of engines, passed on to the decisions and to the connections.

use admission::interface::Timestamp;
use tracing::info;

use super::Service;
use crate::discovery::endpoints::DiscoveryEvent;
use crate::discovery::registry::EngineRegistry;

/// The engines that discovery has listed.
pub(super) struct EndpointList {
    /// The engines by the names that discovery gives them.
    pub registry: EngineRegistry,
    /// A snapshot came: there is something to decide on.
    pub has_snapshot: bool,
}

impl Service {
    /// Applies events of discovery, in their order.
    pub fn on_discovery_events(&mut self, now: Timestamp, events: &[DiscoveryEvent]) {
        for change in events.iter().filter_map(|event| event.change.as_ref()) {
            let applied = self.endpoints.registry.apply(now, change);
            info!(
                snapshot = change.is_snapshot(),
                engines = change.endpoints().len(),
                "endpoint list"
            );
            for address in applied.addresses {
                self.engines.set_address(address.engine, address.address);
            }
            self.scheduler.on_endpoint_update(now, &applied.update);
            for engine in applied.not_ready {
                self.engines.drain_engine(now, engine, &mut self.counters);
            }
            self.endpoints.has_snapshot |= change.is_snapshot();
        }
    }
}
