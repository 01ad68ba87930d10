//! The node: actors and servers that turn bytes into events and actions into bytes.
