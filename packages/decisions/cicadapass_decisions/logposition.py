"""Order the records of logs across the returns of the registry from an older copy.

Within an era, the offsets of a log only grow. A copy gives the offsets behind its end
out again, so an offset means nothing without its era. A position has both in one
number, which grows with the era first; without eras, it is the offset.
"""

from enum import Enum

# Bits of a position that hold the offset: 200 years of 10 records a second.
OFFSET_BITS = 36
MAX_OFFSET = (1 << OFFSET_BITS) - 1
# Higher eras are malformed; a position has at most 63 bits.
MAX_ERA = (1 << 27) - 1


def make_position(era: int, offset: int) -> int:
    """Return the position of an offset."""
    if not 0 <= offset <= MAX_OFFSET:
        raise ValueError(f"offset {offset} does not fit into a position")
    return era << OFFSET_BITS | offset


def era_of(position: int) -> int:
    """Return the era of a position, 0 for that of nothing read."""
    return position >> OFFSET_BITS if position >= 0 else 0


def offset_of(position: int) -> int:
    """Return the offset of a position, -1 for that of nothing read."""
    return position & MAX_OFFSET if position >= 0 else -1


class EraJudgement(Enum):
    """Say what the era of an answer means."""

    SAME = "same"
    RISEN = "risen"
    # The registry answered before it went back.
    OUTDATED = "outdated"
    ODD = "odd"


def judge_era(asked: int, known: int, answered: int | None) -> EraJudgement:
    """Judge an answer by the eras known when it was asked for and now.

    None stands for an answer without a readable era.
    """
    if answered is None:
        # A registry that has never named an era does not go back.
        return EraJudgement.ODD if known else EraJudgement.SAME
    if answered > known:
        return EraJudgement.RISEN if answered <= MAX_ERA else EraJudgement.ODD
    if answered == known:
        return EraJudgement.SAME
    return EraJudgement.OUTDATED if answered >= asked else EraJudgement.ODD
