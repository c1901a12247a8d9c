"""Clocks of the process."""

import time


def boot_ms() -> int:
    """Returns the boot-time clock in milliseconds; it includes suspension."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms() -> int:
    """Returns the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000
