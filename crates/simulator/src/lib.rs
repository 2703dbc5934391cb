//! A small emulator of what the gateways balance, in simulated time: engines, clients with members and desks, the list
//! seconds late, and scripted trouble, around the real `dispatch` and `queues`. Same file and seed, same bytes out.

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
