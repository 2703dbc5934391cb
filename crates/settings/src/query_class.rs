//! The settings of the query classes.

use admission::interface::{
    DeduplicationScope, Effect, LocationId, MachineId, QueryClass, TimeDelta,
};

use crate::{Settings, SettingsError};

/// The largest fraction of a deduplication window that is subtracted for the network delay. It
/// keeps short windows usable.
const MAX_WINDOW_REDUCTION: f64 = 0.1;

/// The longest time that an attempt takes from a gateway to an engine.
///
/// A repeat has to reach the engine while the engine still knows the idempotency key of the first
/// attempt. The deduplication window for sending is therefore shorter by this delay.
#[derive(Clone, Copy, Debug)]
pub struct NetworkDelay(pub TimeDelta);

impl NetworkDelay {
    /// Returns the window within which a repeat has to be sent.
    fn shorten(self, window: TimeDelta) -> TimeDelta {
        let reduction_s = self.0.secs().min(window.secs() * MAX_WINDOW_REDUCTION);
        window - TimeDelta::from_secs(reduction_s)
    }
}

/// Reads the settings of one query class.
struct ClassReader<'a> {
    settings: &'a Settings,
    index: usize,
}

impl ClassReader<'_> {
    fn key(&self, name: &str) -> String {
        format!("Grades.{}.{name}", self.index)
    }

    fn effect(&self, network_delay: NetworkDelay) -> Result<Effect, SettingsError> {
        let key = self.key("Effect");
        let effect: String = self.settings.required(&key)?;
        match effect.as_str() {
            "safe" => Ok(Effect::Idempotent),
            "unsafe" => Ok(Effect::NonIdempotent),
            "keyed" => self.idempotent_by_key(network_delay),
            _ => Err(SettingsError::unreadable(&key, &effect)),
        }
    }

    fn idempotent_by_key(&self, network_delay: NetworkDelay) -> Result<Effect, SettingsError> {
        let scope = self.deduplication_scope()?;
        let window = self.settings.required_duration(&self.key("WindowS"))?;
        Ok(Effect::IdempotentByKey {
            scope,
            window: network_delay.shorten(window),
        })
    }

    fn deduplication_scope(&self) -> Result<DeduplicationScope, SettingsError> {
        let key = self.key("KeyScope");
        let scope: String = self.settings.required(&key)?;
        match scope.as_str() {
            "all" => Ok(DeduplicationScope::All),
            "zone" => Ok(DeduplicationScope::Location),
            "cell" => Ok(DeduplicationScope::Cell),
            _ => Err(SettingsError::unreadable(&key, &scope)),
        }
    }

    fn locations(&self) -> Result<Option<Vec<LocationId>>, SettingsError> {
        let indices = self.settings.indices(&self.key("ZonesOnly"), "Zones")?;
        Ok(indices.map(|indices| indices.into_iter().map(LocationId).collect()))
    }

    fn machines(&self) -> Result<Option<Vec<MachineId>>, SettingsError> {
        let key = self.key("MachineTypesAllowed");
        let indices = self.settings.indices(&key, "MachineTypes")?;
        Ok(indices.map(|indices| indices.into_iter().map(MachineId).collect()))
    }

    fn read(&self, threads: f64, network_delay: NetworkDelay) -> Result<QueryClass, SettingsError> {
        let number = |name: &str| self.settings.number(&self.key(name));
        let duration = |name: &str| self.settings.required_duration(&self.key(name));
        Ok(QueryClass {
            effect: self.effect(network_delay)?,
            priority_weight: number("Credit")?.unwrap_or(1.0),
            late_priority_weight: number("LateWorth")?.unwrap_or(0.0),
            latency_objective: duration("GoalTimeS")?,
            latency_objective_stretch: number("AimStretch")?.unwrap_or(0.0),
            time_limit: duration("GiveUpS")?,
            threads,
            ordered_by_key: self.settings.flag(&self.key("InTurn"))?,
            locations: self.locations()?,
            machines: self.machines()?,
        })
    }
}

impl Settings {
    /// Returns the query classes, indexed by [`ClassId`](admission::interface::ClassId).
    pub(crate) fn query_classes(
        &self,
        network_delay: NetworkDelay,
    ) -> Result<Vec<QueryClass>, SettingsError> {
        let threads = self.numbers("Extra.Parallelism")?;
        let count: usize = self.required("Grades.count")?;
        let class = |index: usize| {
            let threads = threads.get(index).copied().unwrap_or(1.0).max(1.0);
            let reader = ClassReader {
                settings: self,
                index,
            };
            reader.read(threads, network_delay)
        };
        (0..count).map(class).collect()
    }

    /// Returns the number of query classes, or 0 if it cannot be read.
    #[must_use]
    pub fn class_count(&self) -> usize {
        self.optional("Grades.count").ok().flatten().unwrap_or(0)
    }

    /// Returns the names of the query classes, indexed by
    /// [`ClassId`](admission::interface::ClassId).
    ///
    /// # Errors
    ///
    /// Fails if a name is missing or the number of classes cannot be read.
    pub fn class_names(&self) -> Result<Vec<String>, SettingsError> {
        self.names_of("Grades")
    }

    /// Returns the longest time limit of any query class.
    ///
    /// # Errors
    ///
    /// Fails if the time limit of a class is missing or cannot be read.
    pub fn longest_time_limit(&self) -> Result<TimeDelta, SettingsError> {
        let mut longest = TimeDelta::ZERO;
        for index in 0..self.class_count() {
            let limit = self.required_duration(&format!("Grades.{index}.GiveUpS"))?;
            longest = longest.max(limit);
        }
        Ok(longest)
    }
}
