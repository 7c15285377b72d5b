//! Versions of the key-value service, dated with the era in which it gave them out.
//!
//! A service that comes back from an earlier copy of its contents gives the numbers of lost changes out
//! again. An era lasts from one return to the next. Era 0 is that of a service that does not number its
//! returns.

/// The bits of a version from here on hold the era, so that versions grow over a return.
pub const ERA_SHIFT: u32 = 44;

/// The number that the service gave out in an era; 0 stands for none in every era.
pub fn dated(era: u64, number: u64) -> u64 {
    if number == 0 { 0 } else { (era << ERA_SHIFT) | number }
}

/// Version that stands for an absent key in an era: its era without a number.
pub fn absent_in(era: u64) -> u64 {
    era << ERA_SHIFT
}

/// The era of a dated number.
pub fn era_of(dated: u64) -> u64 {
    dated >> ERA_SHIFT
}

/// A dated number as the service gave it out.
pub fn undated(dated: u64) -> u64 {
    dated & ((1 << ERA_SHIFT) - 1)
}
