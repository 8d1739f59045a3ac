"""Judge the eras of the registry, which rise when it returns from an older copy.

Within an era, the offsets of a log only grow. A copy gives the offsets behind its end
out again, so an offset means nothing without its era.
"""

from enum import Enum

# Higher eras are malformed; they would not fit into a position.
MAX_ERA = (1 << 27) - 1


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
