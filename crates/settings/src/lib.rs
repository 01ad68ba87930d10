//! Settings of one node, read from TOML and checked whole at start.
