//! Spread of configuration revisions between nodes.
