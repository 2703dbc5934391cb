//! Emulates a deployment in simulated time: engines, clients of several tenants and queues, engine
//! list updates that arrive late, and scripted faults. The gateways run the production code of the
//! `dispatch` and `scheduler` crates. The same scenario file and seed always give the same output.

pub mod control;
pub mod engine;
pub mod figures;
pub mod front;
pub mod mesh;
pub mod parts;
pub mod play;
pub mod plot;
pub mod rules;
pub mod scenario;
