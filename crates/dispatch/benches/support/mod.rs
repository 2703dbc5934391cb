//! Modules shared by the benchmarks of the data path.
#![allow(dead_code)]

pub(crate) mod fit;
pub(crate) mod simulation;
