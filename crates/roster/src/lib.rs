//! Membership of a region and ownership by rendezvous hashing.
