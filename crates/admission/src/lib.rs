//! Admission of callers' requests: limits, fair shares, priorities and shedding.
