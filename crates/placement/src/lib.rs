//! Slots, leases, loads and evictions of adapters, and the choice of upstream.
