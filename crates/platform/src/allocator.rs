//! Settings of the system's allocator, so that the resident memory follows what is held.

/// Allocations of at least this many bytes get pages of their own, which are returned to the system as soon as they are
/// released. Among small allocations that stay, released long ones would leave holes that other lengths do not fit.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MMAP_THRESHOLD_BYTES: i32 = 4 << 10;
/// Released memory at the end of the heap beyond this is returned to the system, bytes.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const TRIM_THRESHOLD_BYTES: i32 = 128 << 10;
/// Memory by which the heap grows beyond what is needed, bytes: none, as long allocations would take it.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const TOP_PAD_BYTES: i32 = 0;

/// Applies the settings to this process, before it allocates much. By default glibc raises the thresholds with what is released.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn configure() {
    let options = [
        (libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES),
        (libc::M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES),
        (libc::M_TOP_PAD, TOP_PAD_BYTES),
    ];
    // SAFETY: the call takes two numbers, and sets an option of the allocator under its own lock.
    let apply = |(option, value): (i32, i32)| unsafe { libc::mallopt(option, value) == 1 };
    if !options.into_iter().all(apply) {
        tracing::warn!("the allocator does not take its settings; released memory may stay resident");
    }
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn configure() {}
