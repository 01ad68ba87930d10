//! Memory and processor time of this process, read from the kernel's process files (`proc(5)`).

use std::fs;
use std::time::Duration;

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4096;

/// Clock ticks of the kernel's process files in a second.
const TICKS_PER_SECOND: u64 = 100;

/// Index of user time in `/proc/self/stat`, counted behind the command's name.
const USER_FIELD: usize = 11;

/// What the process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Processor time since the start.
    pub cpu: Duration,
}

/// Reads what the process uses; `None` where the kernel offers no process files.
pub fn read() -> Option<Usage> {
    let memory = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = memory.split_whitespace().nth(1)?.parse().ok()?;
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The command's name may hold spaces, so fields are counted behind its closing bracket.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(USER_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    let cpu = Duration::from_millis((user + system) * 1000 / TICKS_PER_SECOND);
    Some(Usage {
        resident_bytes: pages * PAGE_BYTES,
        cpu,
    })
}
