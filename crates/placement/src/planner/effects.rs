//! Effects of one step of the planner.

use std::collections::VecDeque;

use wire::Vm;

use crate::action::{Action, Note};
use crate::message::Message;

/// Actions for the driver, and messages between the two roles of this node.
#[derive(Debug)]
pub struct Effects {
    me: Vm,
    /// Actions, in the order in which they were decided.
    pub actions: Vec<Action>,
    /// Messages from this node to itself.
    pub local: VecDeque<Message>,
}

impl Effects {
    /// Creates an empty set of effects for the node on VM `me`.
    pub fn new(me: Vm) -> Self {
        Self {
            me,
            actions: Vec::new(),
            local: VecDeque::new(),
        }
    }

    /// Sends a message to `to`, which may be this node.
    pub fn send(&mut self, to: &Vm, message: Message) {
        if *to == self.me {
            self.local.push_back(message);
        } else {
            self.actions.push(Action::Send {
                to: to.clone(),
                message,
            });
        }
    }

    /// Appends a decision for the log.
    pub fn note(&mut self, note: Note) {
        self.actions.push(Action::Note(note));
    }

    /// Appends an action.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }
}
