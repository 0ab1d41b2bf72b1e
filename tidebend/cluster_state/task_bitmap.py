"""Sets of task indexes: integers used as bitmaps in memory, ranges ("0-15,18") in records."""

from __future__ import annotations

from collections.abc import Iterator


def bit_range(first: int, last: int) -> int:
    """Return the bitmap of the indexes from `first` to `last`, inclusive."""
    return ((1 << (last - first + 1)) - 1) << first


def format_ranges(mask: int) -> str:
    """Return the stored form: ascending indexes and ranges, separated by commas; empty for no tasks."""
    ranges = []
    base = 0
    while mask:
        skip = (mask & -mask).bit_length() - 1
        mask >>= skip
        base += skip
        length = (~mask & (mask + 1)).bit_length() - 1
        ranges.append(f"{base}-{base + length - 1}" if length > 1 else str(base))
        mask >>= length
        base += length
    return ",".join(ranges)


def parse_ranges(text: str) -> int:
    """Parse the stored form; raises ValueError for anything but indexes and ranges."""
    mask = 0
    for part in text.split(",") if text else ():
        first, _, last = part.partition("-")
        mask |= bit_range(int(first), int(last or first))
    return mask


def set_bits(mask: int) -> Iterator[int]:
    """Yield the indexes in a bitmap in ascending order."""
    while mask:
        lowest_bit = mask & -mask
        yield lowest_bit.bit_length() - 1
        mask ^= lowest_bit


def lowest_bits(mask: int, count: int) -> int:
    """Return the bitmap of the `count` lowest indexes, or of all if there are fewer."""
    if mask.bit_count() <= count:
        return mask
    selected = 0
    for index in set_bits(mask):
        if not count:
            break
        selected |= 1 << index
        count -= 1
    return selected
