//! hyssopscale: a serving layer for very many LoRA adapters.
//!
//! The programs `hyssopd` and `hyssopctl` parse their arguments in [`cli`] and call one module of
//! [`ops`] for each command. [`client`] speaks HTTP to nodes. The node itself is the library
//! `node`; what it decides is in the libraries that `logic` joins.

pub mod cli;
pub mod client;
pub mod ops;
