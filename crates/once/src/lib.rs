//! At-most-once execution of non-idempotent calls by claims from witnesses.
