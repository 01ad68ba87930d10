//! What the head of an upstream's answer is worth.

use exchange::proof::{Proof, Refusal};
use hyper::StatusCode;

use crate::dialect::{Echo, Mark};

/// What to do with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Worth {
    /// The upstream did not run the request.
    Refused(Proof),
    /// It is the upstream's own answer to this attempt.
    Own,
    /// It is of no use, for this reason, and the request may have run.
    Void(&'static str),
}

/// Judges an answer by its head. `repeated` tells whether its connection has carried an earlier
/// try of the attempt.
pub(super) fn judge(status: StatusCode, mark: &Mark, repeated: bool) -> Worth {
    let refusal = Refusal {
        states_not_run: mark.refused,
        names_attempt: mark.echo == Echo::This,
        connection_retried: repeated,
    };
    if let Some(proof) = Proof::refused(refusal) {
        return Worth::Refused(proof);
    }
    match mark.echo {
        Echo::Other => Worth::Void("crossed"),
        Echo::Nothing => Worth::Void("nameless"),
        Echo::This if mark.refused => Worth::Void("unproven"),
        Echo::This if mark.promising => Worth::Void("unstated"),
        Echo::This if status.is_success() && !(mark.signed && mark.plain) => {
            Worth::Void("unsigned")
        }
        Echo::This => Worth::Own,
    }
}
