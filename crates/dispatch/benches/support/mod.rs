//! Parts that the benches of the data path share.
#![allow(dead_code)]

pub mod fit;
pub mod simulation;
