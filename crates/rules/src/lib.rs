//! Operators' rules: parsing, checking and matching.
