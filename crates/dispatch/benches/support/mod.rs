//! Parts that the benches of the data path share.
#![allow(dead_code)]

pub(crate) mod fit;
pub(crate) mod simulation;
