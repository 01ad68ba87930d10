//! The default of `limits.memory_mb` follows from the machine.

use rstest::rstest;
use settings::machine::memory_mb;

/// Guards against a default above the memory of the machine, which bounds nothing.
#[rstest]
#[case::large("MemTotal:       32000000 kB\nMemFree: 1 kB\n", "max\n", 1_024)]
#[case::small("MemTotal:         524288 kB\n", "max\n", 256)]
#[case::container("MemTotal:       32000000 kB\n", "314572800\n", 150)]
#[case::group_above_the_machine("MemTotal:         524288 kB\n", "4294967296\n", 256)]
#[case::tiny("MemTotal:          32768 kB\n", "", 32)]
#[case::only_a_group("", "314572800", 150)]
#[case::unknown("", "", 1_024)]
fn default_is_half_of_the_machine(
    #[case] machine: &str,
    #[case] group: &str,
    #[case] default: usize,
) {
    assert_eq!(memory_mb(machine, group), default);
}
