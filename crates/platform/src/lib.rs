//! Drivers to the platform's configuration service and VM list.
