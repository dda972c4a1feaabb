//! Memory that the allocator keeps, and its return to the system.

/// Size from which the allocator maps a buffer by itself, in bytes.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MAPPED_BYTES: libc::c_int = 64 * 1024;

/// Returns free memory of the allocator to the system, where the allocator is able to.
pub fn return_free_memory() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: `malloc_trim` has no requirements.
    unsafe {
        libc::malloc_trim(0);
    }
}

/// Lets the allocator map each large buffer by itself, where it is able to, so that its memory goes
/// back to the system with it.
///
/// By default the allocator stops to do so once large buffers were freed, and what small ones keep
/// between them stays.
pub fn map_large_buffers() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: `mallopt` has no requirements.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BYTES);
    }
}
