//! Returns memory that the allocator keeps to the system.

/// Returns free memory of the allocator to the system, where the allocator is able to.
pub fn return_free_memory() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: `malloc_trim` has no requirements.
    unsafe {
        libc::malloc_trim(0);
    }
}
