"""Sets of task numbers: integers used as bitmaps in memory, ranges ("0-15,18") in records."""

from __future__ import annotations

from collections.abc import Iterator


def interval(first: int, last: int) -> int:
    return ((1 << (last - first + 1)) - 1) << first


def to_text(mask: int) -> str:
    chunks = []
    base = 0
    while mask:
        skip = (mask & -mask).bit_length() - 1
        mask >>= skip
        base += skip
        run = (~mask & (mask + 1)).bit_length() - 1
        chunks.append(f"{base}-{base + run - 1}" if run > 1 else str(base))
        mask >>= run
        base += run
    return ",".join(chunks)


def from_text(text: str) -> int:
    mask = 0
    for chunk in text.split(",") if text else ():
        first, _, last = chunk.partition("-")
        mask |= interval(int(first), int(last or first))
    return mask


def members(mask: int) -> Iterator[int]:
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def lowest(mask: int, count: int) -> int:
    """The `count` lowest members."""
    if mask.bit_count() <= count:
        return mask
    low = 0
    for index in members(mask):
        if not count:
            break
        low |= 1 << index
        count -= 1
    return low
