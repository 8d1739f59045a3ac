"""Sums of admitted amounts in a sliding window."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

# Resolution of the usage within the window.
USAGE_STEP_S = 0.2


@dataclass(slots=True)
class UsageStep:
    """Sum the amounts of a short time."""

    started_s: float
    # Time of the last amount; the step leaves the window with it.
    ended_s: float
    amount: float


@dataclass(slots=True)
class UsageWindow:
    """Sum the admitted amounts in the window by steps of time."""

    steps: deque[UsageStep] = field(default_factory=deque)
    amount: float = 0.0

    def add(self, now_s: float, amount: float) -> None:
        """Add an amount; times must not go back by more than a step."""
        if self.steps and now_s - self.steps[-1].started_s < USAGE_STEP_S:
            self.steps[-1].ended_s = max(now_s, self.steps[-1].ended_s)
            self.steps[-1].amount += amount
        else:
            self.steps.append(UsageStep(now_s, now_s, amount))
        self.amount += amount

    def remove(self, amount: float, added_s: float) -> bool:
        """Take back an amount that was added at this time; return whether it counted.

        Subtracted at a later time, it would reduce the sum after it has left.
        """
        for step in reversed(self.steps):
            if step.ended_s < added_s:
                break
            if step.started_s <= added_s:
                step.amount -= amount
                self.amount -= amount
                return True
        return False

    def remove_oldest(self, amount: float) -> None:
        """Take back an amount of unknown time, at most the sum.

        Of the oldest amounts, so that what is left counts no shorter than it should.
        """
        while self.steps and amount >= self.steps[0].amount:
            step = self.steps.popleft()
            amount -= step.amount
            self.amount -= step.amount
        if self.steps:
            self.steps[0].amount -= amount
            self.amount -= amount

    def amount_since(self, start_s: float) -> float:
        """Return the sum of the steps that ended at this time or later."""
        amount = 0.0
        for step in reversed(self.steps):
            if step.ended_s < start_s:
                break
            amount += step.amount
        return amount

    def amount_before(self, end_s: float) -> float:
        """Return the sum of the steps that ended before this time."""
        amount = 0.0
        for step in self.steps:
            if step.ended_s >= end_s:
                break
            amount += step.amount
        return amount

    def mean_age_s(self, now_s: float) -> float:
        """Return the mean age of the amounts; 0 if there are none."""
        if self.amount <= 0:
            return 0.0
        weighted = sum(step.amount * (now_s - step.ended_s) for step in self.steps)
        return max(0.0, weighted / self.amount)

    def trim(self, start_s: float) -> None:
        """Drop the steps that ended before the window starts."""
        while self.steps and self.steps[0].ended_s < start_s:
            self.amount -= self.steps.popleft().amount


def time_until_free_s(
    usages: Iterable[UsageWindow], excess: float, window_s: float, now_s: float
) -> float:
    """Return the time until an amount has left the window, at least one step."""
    steps = sorted((step for usage in usages for step in usage.steps), key=_step_end)
    for step in steps:
        excess -= step.amount
        if excess <= 0:
            return max(USAGE_STEP_S, step.ended_s + window_s - now_s)
    return window_s


def _step_end(step: UsageStep) -> float:
    return step.ended_s
