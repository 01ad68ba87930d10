//! Memory of the machine, from which the default of `limits.memory_mb` follows.

/// Default where the machine has twice as much, in megabytes.
const DEFAULT_MB: usize = 1024;

/// Smallest default in megabytes.
const DEFAULT_MB_MIN: usize = 32;

/// Memory of the machine.
const MACHINE: &str = "/proc/meminfo";

/// Memory that the control group of the process may use.
const CONTROL_GROUP: &str = "/sys/fs/cgroup/memory.max";

/// Returns the megabytes that a process may use on this machine unless the settings say otherwise.
pub fn default_memory_mb() -> usize {
    let machine = std::fs::read_to_string(MACHINE).unwrap_or_default();
    let group = std::fs::read_to_string(CONTROL_GROUP).unwrap_or_default();
    memory_mb(&machine, &group)
}

/// Returns half of the memory that `/proc/meminfo` and `memory.max` tell of, 1,024 MB at most. Texts
/// that tell of none are left out.
pub fn memory_mb(machine: &str, group: &str) -> usize {
    let total = machine
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:")?.split_whitespace().next());
    let total = total.and_then(|kilobytes| kilobytes.parse::<usize>().ok());
    let total = total.map(|kilobytes| kilobytes >> 10);
    let group = group.trim().parse::<usize>().ok();
    let group = group.map(|bytes| bytes >> 20);
    let least = total.into_iter().chain(group).min();
    least.map_or(DEFAULT_MB, |megabytes| {
        (megabytes / 2).clamp(DEFAULT_MB_MIN, DEFAULT_MB)
    })
}
