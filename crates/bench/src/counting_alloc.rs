//! A global allocator that counts allocations and bytes in use per thread.
#![allow(
    unsafe_code,
    reason = "a global allocator can only be an unsafe trait implementation"
)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
    static LIVE_BYTES: Cell<i64> = const { Cell::new(0) };
}

/// Forwards every call to the system allocator and counts allocations and bytes per thread.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn count_allocation() {
    // The thread-local counter may already be destroyed while a thread exits; those last allocations are not counted.
    let _ = ALLOCATIONS.try_with(|count| count.set(count.get() + 1));
}

fn add_bytes(bytes: i64) {
    let _ = LIVE_BYTES.try_with(|live| live.set(live.get() + bytes));
}

// SAFETY: every method passes its arguments unchanged to the system allocator, which upholds the contract. Counting
// neither allocates nor unwinds, because the counter is a plain thread-local cell with a constant initial value.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count_allocation();
        add_bytes(layout.size() as i64);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        add_bytes(-(layout.size() as i64));
        // SAFETY: the caller passes a block of this allocator, which is one of the system allocator.
        unsafe { System.dealloc(ptr, layout) }
    }

    unsafe fn realloc(&self, ptr: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        count_allocation();
        add_bytes(new_size as i64 - layout.size() as i64);
        // SAFETY: as for `dealloc`.
        unsafe { System.realloc(ptr, layout, new_size) }
    }
}

/// Returns the number of allocations that this thread has made.
#[must_use]
pub fn allocations() -> u64 {
    ALLOCATIONS.with(Cell::get)
}

/// Returns the bytes that this thread has allocated and not freed, by requested size.
///
/// A block that another thread frees stays counted here, so the result is exact only for single-threaded work.
#[must_use]
pub fn live_bytes() -> i64 {
    LIVE_BYTES.with(Cell::get)
}
