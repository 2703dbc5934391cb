//! Connections between gateways and engines. Idle ones are reused until the idle timeout.

use std::collections::BTreeMap;

/// The connections of all gateways and engines.
pub(super) struct Connections {
    idle_timeout_s: f64,
    /// When each idle connection became idle, by gateway and engine.
    idle_since_s: BTreeMap<(usize, usize), Vec<f64>>,
    /// The number of open connections of each engine, idle or in use.
    open: Vec<u64>,
    /// The number of connections opened during the run.
    pub(super) handshakes: u64,
    /// The largest number of connections that were open to one engine at a time.
    pub(super) most_open: u64,
}

impl Connections {
    /// `idle_timeout_s` is `None` if idle connections are never closed.
    pub(super) fn new(engines: usize, idle_timeout_s: Option<f64>) -> Self {
        Connections {
            idle_timeout_s: idle_timeout_s.unwrap_or(f64::INFINITY),
            idle_since_s: BTreeMap::new(),
            open: vec![0; engines],
            handshakes: 0,
            most_open: 0,
        }
    }

    /// Reuses an idle connection or opens a new one.
    pub(super) fn acquire(&mut self, now_s: f64, gateway: usize, engine: usize) {
        let idle = self.idle_since_s.entry((gateway, engine)).or_default();
        let before = idle.len();
        idle.retain(|since_s| now_s - since_s < self.idle_timeout_s);
        self.open[engine] -= (before - idle.len()) as u64;
        if idle.pop().is_none() {
            self.handshakes += 1;
            self.open[engine] += 1;
        }
        self.most_open = self.most_open.max(self.open[engine]);
    }

    /// Returns a connection that was in use to the idle ones.
    pub(super) fn release(&mut self, now_s: f64, gateway: usize, engine: usize) {
        self.idle_since_s
            .entry((gateway, engine))
            .or_default()
            .push(now_s);
    }

    /// Closes a connection that was in use.
    pub(super) fn close(&mut self, engine: usize) {
        self.open[engine] -= 1;
    }

    pub(super) fn close_idle_of_gateway(&mut self, gateway: usize) {
        self.close_idle(|(of, _)| *of == gateway);
    }

    pub(super) fn close_idle_to_engine(&mut self, engine: usize) {
        self.close_idle(|(_, to)| *to == engine);
    }

    fn close_idle(&mut self, matches: impl Fn(&(usize, usize)) -> bool) {
        let closed = self.idle_since_s.extract_if(.., |pair, _| matches(pair));
        for ((_, engine), idle) in closed {
            self.open[engine] -= idle.len() as u64;
        }
    }
}
