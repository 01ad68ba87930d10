//! All decision makers of one node as one state machine.
//!
//! [`Node`] joins the machines of `roster`, `confsync`, `placement`, `once`, `dispatch::poison` and
//! `admission`: it decodes frames for them, hands the roster's view to the others, and encodes what they send. It has no I/O, so
//! one thread can drive the nodes of a whole region deterministically; `examples/region.rs` does.
//!
//! ```text
//! frames, answers of engines, services and the platform, requests, time
//!                                │ Event
//!          ┌─────────────────────▼────────────────────────────────┐
//!          │ roster ──view──► confsync, placement, once, poison   │
//!          │ admission                                            │
//!          └─────────────────────┬────────────────────────────────┘
//!                                │ Action
//! frames, orders to engines, grants, permissions, refusals, reads of the platform
//! ```

mod channel;
mod node;

pub use channel::Channel;
pub use node::{Action, Config, Event, Node};
