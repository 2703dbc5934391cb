//! The endpoint list: passes the changes that discovery reports on to the scheduler and to the
//! engines' connections.

use admission::interface::Timestamp;
use tracing::info;

use super::Service;
use crate::discovery::endpoints::DiscoveryEvent;
use crate::discovery::registry::EngineRegistry;

/// The engines that discovery has listed.
pub(super) struct EndpointList {
    /// Maps the names that discovery gives engines to their ids.
    pub registry: EngineRegistry,
    /// Whether a snapshot has arrived; before the first one, the scheduler knows of no engine.
    pub has_snapshot: bool,
}

impl Service {
    /// Applies the changes of discovery events in the given order.
    pub fn on_discovery_events(&mut self, now: Timestamp, events: &[DiscoveryEvent]) {
        for change in events.iter().filter_map(|event| event.change.as_ref()) {
            let applied = self.endpoints.registry.apply(now, change);
            info!(
                snapshot = change.is_snapshot(),
                engines = change.endpoints().len(),
                "applied a change of the endpoint list"
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
