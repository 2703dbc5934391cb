//! The heap of the process.

/// Returns free memory of the heap to the system. The C library keeps what lies below memory in use
/// otherwise, however much it is.
pub(crate) fn return_free_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: The call has no preconditions. It releases free memory only, and locks each arena.
    unsafe {
        nix::libc::malloc_trim(0);
    }
}
