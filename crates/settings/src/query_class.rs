//! The query classes.

use admission::interface::{
    DeduplicationScope, Effect, LocationId, MachineId, QueryClass, TimeDelta,
};

use crate::{Settings, SettingsError};

/// Of a short deduplication window, no more than this part is taken off for the network.
const MAX_WINDOW_CUT: f64 = 0.1;

/// The longest time that what has left a gateway is on its way to an engine. A repeat must be there while the engine
/// still knows the first attempt, so for the sender deduplication windows are this much shorter.
#[derive(Clone, Copy, Debug)]
pub struct NetworkDelay(pub TimeDelta);

impl NetworkDelay {
    /// The window within which a repeat must leave.
    fn shorten(self, window: TimeDelta) -> TimeDelta {
        let cut_s = self.0.secs().min(window.secs() * MAX_WINDOW_CUT);
        window - TimeDelta::from_secs(cut_s)
    }
}

/// One class's settings.
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
    /// All query classes, by their index.
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

    /// The number of query classes; 0 where it cannot be read.
    #[must_use]
    pub fn class_count(&self) -> usize {
        self.optional("Grades.count").ok().flatten().unwrap_or(0)
    }

    /// The names of the query classes, by their index.
    ///
    /// # Errors
    ///
    /// Where a name is missing, or the number of classes cannot be read.
    pub fn class_names(&self) -> Result<Vec<String>, SettingsError> {
        self.names_of("Grades")
    }

    /// The longest time limit of any query class.
    ///
    /// # Errors
    ///
    /// Where a class has none, or it cannot be read.
    pub fn longest_time_limit(&self) -> Result<TimeDelta, SettingsError> {
        let mut longest = TimeDelta::ZERO;
        for index in 0..self.class_count() {
            let limit = self.required_duration(&format!("Grades.{index}.GiveUpS"))?;
            longest = longest.max(limit);
        }
        Ok(longest)
    }
}
