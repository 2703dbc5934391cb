//! The settings as paths and values, with a typed accessor for each kind of value.

use std::collections::BTreeMap;
use std::str::FromStr;

use admission::interface::TimeDelta;
use serde_json::Value;

use crate::SettingsError;

/// The settings of one gateway, as a map from paths to values.
#[derive(Debug, PartialEq)]
pub struct Settings(BTreeMap<String, String>);

impl Settings {
    /// Parses `path=value` lines. Lines without `=` are ignored.
    #[must_use]
    pub fn from_lines(text: &str) -> Self {
        let mut values = BTreeMap::new();
        for line in text.lines() {
            if let Some((path, value)) = line.trim().split_once('=') {
                values.insert(path.to_owned(), value.to_owned());
            }
        }
        Settings(values)
    }

    /// Converts nested JSON. Member names are joined with dots to form a path. A list that contains
    /// objects is stored as its length under `count` and its items under their indices.
    #[must_use]
    pub fn from_json(settings: &Value) -> Self {
        let mut values = BTreeMap::new();
        flatten(settings, String::new(), &mut values);
        Settings(values)
    }

    /// Parses a setting. Returns `None` if it is absent or empty.
    pub(crate) fn optional<T: FromStr>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.0.get(key).filter(|value| !value.is_empty()) else {
            return Ok(None);
        };
        let parsed = value.parse();
        parsed
            .map(Some)
            .map_err(|_| SettingsError::unreadable(key, value))
    }

    /// Parses a setting. Fails if it is absent or empty.
    pub(crate) fn required<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.optional(key)?
            .ok_or_else(|| SettingsError::Missing(key.to_owned()))
    }

    /// Parses a boolean. Returns false if the setting is absent.
    pub(crate) fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        Ok(self.optional(key)?.unwrap_or(false))
    }

    /// Parses a number. Fails if it is negative or not finite.
    pub(crate) fn number(&self, key: &str) -> Result<Option<f64>, SettingsError> {
        let Some(number) = self.optional::<f64>(key)? else {
            return Ok(None);
        };
        if !number.is_finite() || number < 0.0 {
            return Err(SettingsError::unreadable(key, &number.to_string()));
        }
        Ok(Some(number))
    }

    /// Parses a duration in seconds. Fails if it is negative or not finite.
    pub(crate) fn duration(&self, key: &str) -> Result<Option<TimeDelta>, SettingsError> {
        Ok(self.number(key)?.map(TimeDelta::from_secs))
    }

    /// Parses a duration in seconds. Returns `None` if it is 0 or absent.
    pub(crate) fn positive_duration(&self, key: &str) -> Result<Option<TimeDelta>, SettingsError> {
        let duration = self.duration(key)?;
        Ok(duration.filter(|duration| *duration > TimeDelta::ZERO))
    }

    /// Parses a duration in seconds. Fails if it is absent.
    pub(crate) fn required_duration(&self, key: &str) -> Result<TimeDelta, SettingsError> {
        self.duration(key)?
            .ok_or_else(|| SettingsError::Missing(key.to_owned()))
    }

    /// Splits a comma-separated list. Returns an empty list if the setting is absent.
    pub(crate) fn list(&self, key: &str) -> Vec<&str> {
        let value = self.0.get(key).map_or("", String::as_str);
        let items = value.split(',').map(str::trim);
        items.filter(|item| !item.is_empty()).collect()
    }

    pub(crate) fn owned_list(&self, key: &str) -> Vec<String> {
        self.list(key).into_iter().map(String::from).collect()
    }

    /// Parses a comma-separated list of numbers. Fails if one of them is not finite.
    pub(crate) fn numbers(&self, key: &str) -> Result<Vec<f64>, SettingsError> {
        let number = |item: &str| {
            let parsed = item.parse().ok();
            parsed
                .filter(|number: &f64| number.is_finite())
                .ok_or_else(|| SettingsError::unreadable(key, item))
        };
        self.list(key).into_iter().map(number).collect()
    }

    /// Parses a list whose items are names from the list setting `names` or indices into it.
    /// Returns `None` if the setting is absent.
    pub(crate) fn indices(
        &self,
        key: &str,
        names: &str,
    ) -> Result<Option<Vec<u16>>, SettingsError> {
        if !self.0.contains_key(key) {
            return Ok(None);
        }
        let names = self.list(names);
        let index = |item: &str| {
            let position = names.iter().position(|name| *name == item);
            let position = position.map(|index| index as u16);
            item.parse()
                .ok()
                .or(position)
                .ok_or_else(|| SettingsError::unreadable(key, item))
        };
        let indices: Result<Vec<u16>, _> = self.list(key).into_iter().map(index).collect();
        indices.map(Some)
    }

    /// Returns the `Name` of each object in a list of objects.
    pub(crate) fn names_of(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        let count: usize = self.optional(&format!("{list}.count"))?.unwrap_or(0);
        let name = |index| self.required(&format!("{list}.{index}.Name"));
        (0..count).map(name).collect()
    }
}

/// Adds a JSON value at `path`, and all values nested in it.
fn flatten(value: &Value, path: String, values: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                flatten(member, join(&path, name), values);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            values.insert(join(&path, "count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(item, join(&path, &index.to_string()), values);
            }
        }
        Value::Array(items) => {
            // The line format separates the items of a list with commas, so items must not contain
            // any.
            let item = |value: &Value| plain_text(value).replace([' ', ','], "_");
            let items: Vec<String> = items.iter().map(item).collect();
            values.insert(path, items.join(","));
        }
        Value::Null => {}
        Value::Bool(_) | Value::Number(_) | Value::String(_) => {
            values.insert(path, plain_text(value));
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn plain_text(value: &Value) -> String {
    match value.as_str() {
        Some(text) => text.to_owned(),
        None => value.to_string(),
    }
}
