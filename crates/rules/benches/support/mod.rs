//! Generates the rules of a fleet, and provides an allocator that counts allocations.

#![allow(unsafe_code)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::fmt::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// Number of callers in the largest fleet.
pub const CALLERS: usize = 2_000;

/// Number of base models in the largest fleet.
pub const BASES: usize = 4;

static BYTES: AtomicUsize = AtomicUsize::new(0);
static CALLS: AtomicUsize = AtomicUsize::new(0);

/// The system allocator with counters.
pub struct Counting;

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES.fetch_add(layout.size(), Relaxed);
        CALLS.fetch_add(1, Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size(), Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Returns the number of bytes currently allocated.
pub fn bytes() -> usize {
    BYTES.load(Relaxed)
}

/// Returns the number of allocations so far.
pub fn calls() -> usize {
    CALLS.load(Relaxed)
}

/// Generates rules for `adapters` adapters, every tenth with a second version and a rollout, and
/// two routes for each caller.
pub fn rules(adapters: usize) -> String {
    let mut text = String::new();
    for base in 0..BASES {
        let _ = writeln!(text, "base base-{base} store weights-{base} # models");
        let _ = writeln!(text, "pool pool-{base} base base-{base} # models");
    }
    text += "calendar qld zone Australia/Brisbane # desk\n";
    text += "term qld 2026-1 from 2026-01-27 until 2026-04-02 # desk\n";
    for adapter in 0..adapters {
        let name = format!("adapter-{adapter:05}");
        let (base, who) = (adapter % BASES, adapter % 200);
        let _ = writeln!(
            text,
            "adapter {name} base base-{base} version v1 path {name}/v1 # operator {who}: asked for it"
        );
        if adapter % 10 == 0 {
            let _ = writeln!(
                text,
                "adapter {name} version v2 path {name}/v2 # operator {who}"
            );
            let _ = writeln!(
                text,
                "rollout {name} from v1 to v2 percent 25 # operator {who}"
            );
        }
    }
    for caller in 0..CALLERS {
        let adapter = caller * adapters / CALLERS;
        let _ = writeln!(
            text,
            "caller caller-{caller} token sha256:{caller:064x} trade desk,letters priority urgent # ops\n\
             limit caller-{caller} rate 10 burst 20 concurrent 8 # ops\n\
             route caller caller-{caller} trade desk to adapter-{adapter:05} when term qld days mon-fri hours 06:00-18:00 # ops\n\
             route caller caller-{caller} to adapter-{adapter:05}@v1 # ops"
        );
    }
    text + "route to named # ops\n"
}
