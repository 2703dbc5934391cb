//! Admission control: decides whether, when and at which engine each statement runs.
//!
//! [`policy`] makes the decisions; [`interface`] defines the data types that it exchanges with its
//! caller.

pub mod interface;
pub mod policy;
