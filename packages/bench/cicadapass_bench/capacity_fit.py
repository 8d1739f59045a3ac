"""Fit a straight line to measured costs and extrapolate it."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fit:
    """Represent a least-squares line and the standard errors of base and slope."""

    base: float
    slope: float
    base_error: float
    slope_error: float
    sizes: tuple[float, ...]

    def value_at(self, size: float) -> float:
        """Return the value at a size, which may lie outside the measured sizes."""
        return self.base + self.slope * size

    def error_at(self, size: float) -> float:
        """Return the standard error of the value at a size."""
        mean = sum(self.sizes) / len(self.sizes)
        # The error is smallest at the mean size and grows with the distance from it.
        variance_at_mean = self.base_error**2 - (self.slope_error * mean) ** 2
        slope_term = self.slope_error * (size - mean)
        return math.sqrt(max(0.0, variance_at_mean) + slope_term**2)


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit `base + slope * size`; raise ValueError with fewer than three sizes."""
    if len(set(sizes)) < 3 or len(sizes) != len(values):
        raise ValueError("a fit with an error needs three sizes; measure more of them")
    count = len(sizes)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    squared_deviations = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    covariance_sum = sum(
        (size - mean_size) * (value - mean_value) for size, value in pairs
    )
    slope = covariance_sum / squared_deviations
    base = mean_value - slope * mean_size
    squared_residuals = sum((value - base - slope * size) ** 2 for size, value in pairs)
    variance = squared_residuals / (count - 2)
    slope_error = math.sqrt(variance / squared_deviations)
    base_error = math.sqrt(variance * (1 / count + mean_size**2 / squared_deviations))
    return Fit(base, slope, base_error, slope_error, tuple(sizes))
