//! The paths and values of the settings, and how a value of each kind is read.

use std::collections::BTreeMap;
use std::str::FromStr;

use admission::interface::TimeDelta;
use serde_json::Value;

use crate::SettingsError;

/// The paths and values of one gateway's settings.
#[derive(Debug, PartialEq)]
pub struct Settings(BTreeMap<String, String>);

impl Settings {
    /// Reads `path=value` lines; a line without `=` counts for nothing.
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

    /// Reads nested JSON: names are joined by dots, a list of objects has their number as `count`.
    #[must_use]
    pub fn from_json(settings: &Value) -> Self {
        let mut values = BTreeMap::new();
        flatten(settings, String::new(), &mut values);
        Settings(values)
    }

    /// None where the setting is not there, or empty.
    pub(crate) fn optional<T: FromStr>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.0.get(key).filter(|value| !value.is_empty()) else {
            return Ok(None);
        };
        let parsed = value.parse();
        parsed
            .map(Some)
            .map_err(|_| SettingsError::unreadable(key, value))
    }

    pub(crate) fn required<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.optional(key)?
            .ok_or_else(|| SettingsError::Missing(key.to_owned()))
    }

    /// A setting that is true or false; false where not told.
    pub(crate) fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        Ok(self.optional(key)?.unwrap_or(false))
    }

    /// A finite number that is not negative.
    pub(crate) fn number(&self, key: &str) -> Result<Option<f64>, SettingsError> {
        let Some(number) = self.optional::<f64>(key)? else {
            return Ok(None);
        };
        if !number.is_finite() || number < 0.0 {
            return Err(SettingsError::unreadable(key, &number.to_string()));
        }
        Ok(Some(number))
    }

    /// A time in seconds that is not negative.
    pub(crate) fn duration(&self, key: &str) -> Result<Option<TimeDelta>, SettingsError> {
        Ok(self.number(key)?.map(TimeDelta::from_secs))
    }

    /// A time in seconds; none where it is 0 or not told.
    pub(crate) fn positive_duration(&self, key: &str) -> Result<Option<TimeDelta>, SettingsError> {
        let duration = self.duration(key)?;
        Ok(duration.filter(|duration| *duration > TimeDelta::ZERO))
    }

    pub(crate) fn required_duration(&self, key: &str) -> Result<TimeDelta, SettingsError> {
        self.duration(key)?
            .ok_or_else(|| SettingsError::Missing(key.to_owned()))
    }

    /// A list joined by commas; empty where not told.
    pub(crate) fn list(&self, key: &str) -> Vec<&str> {
        let value = self.0.get(key).map_or("", String::as_str);
        let items = value.split(',').map(str::trim);
        items.filter(|item| !item.is_empty()).collect()
    }

    pub(crate) fn owned_list(&self, key: &str) -> Vec<String> {
        self.list(key).into_iter().map(String::from).collect()
    }

    /// A list of finite numbers.
    pub(crate) fn numbers(&self, key: &str) -> Result<Vec<f64>, SettingsError> {
        let number = |item: &str| {
            let parsed = item.parse().ok();
            parsed
                .filter(|number: &f64| number.is_finite())
                .ok_or_else(|| SettingsError::unreadable(key, item))
        };
        self.list(key).into_iter().map(number).collect()
    }

    /// A list whose items are indices into the list `names`, or names of it; none where not told.
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
            let named = names.iter().position(|name| *name == item);
            let named = named.map(|index| index as u16);
            item.parse()
                .ok()
                .or(named)
                .ok_or_else(|| SettingsError::unreadable(key, item))
        };
        let indices: Result<Vec<u16>, _> = self.list(key).into_iter().map(index).collect();
        indices.map(Some)
    }

    /// The `Name` of each object of a list.
    pub(crate) fn names_of(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        let count: usize = self.optional(&format!("{list}.count"))?.unwrap_or(0);
        let name = |index| self.required(&format!("{list}.{index}.Name"));
        (0..count).map(name).collect()
    }
}

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
            // As on the wire, where commas join a list.
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
