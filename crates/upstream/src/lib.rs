//! Drivers to engines and plain services.
