//! What one step leaves to be done.

use std::collections::VecDeque;

use wire::Vm;

use crate::action::{Action, Note};
use crate::message::Message;

/// Actions for the driver, and messages that this node sends itself.
#[derive(Debug)]
pub struct Effects {
    me: Vm,
    /// Actions in order.
    pub actions: Vec<Action>,
    /// Messages to this node's own other role.
    pub local: VecDeque<Message>,
}

impl Effects {
    /// Makes an empty set of effects of the node on VM `me`.
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

    /// Writes a decision to the log.
    pub fn note(&mut self, note: Note) {
        self.actions.push(Action::Note(note));
    }

    /// Appends an action.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }
}
