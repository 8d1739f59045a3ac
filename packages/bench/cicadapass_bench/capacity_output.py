"""Print values, fits and projections as JSON lines."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from cicadapass_bench.capacity_fit import Fit, fit_line
from cicadapass_bench.loadrun import print_measure


@dataclass(slots=True)
class Output:
    """Print measured values; store the fits by measure for later projections."""

    seed: int
    fits: dict[str, Fit] = field(default_factory=dict)

    def value(self, measure: str, variant: str, value: float, unit: str) -> None:
        """Print one value as a JSON line."""
        print_measure(measure, variant, value, unit, self.seed)

    def series(
        self,
        measure: str,
        size_name: str,
        pairs: Sequence[tuple[float, float]],
        unit: str,
    ) -> Fit:
        """Print the values at several sizes and the line that is fitted to them."""
        for size, value in pairs:
            self.value(measure, f"{size:g} {size_name}", value, unit)
        fit = fit_line([size for size, _ in pairs], [value for _, value in pairs])
        self.fits[measure] = fit
        self.value(f"{measure}_base", f"fit over {size_name}", fit.base, unit)
        self.value(
            f"{measure}_base_error", f"fit over {size_name}", fit.base_error, unit
        )
        # Values are printed with three decimals, too few for a slope per single unit.
        self.value(f"{measure}_slope", f"per 1000 {size_name}", 1e3 * fit.slope, unit)
        error = 1e3 * fit.slope_error
        self.value(f"{measure}_slope_error", f"per 1000 {size_name}", error, unit)
        return fit

    def projected(self, measure: str, size: float, unit: str) -> float:
        """Print and return the value of a printed series' line at the planned size."""
        fit = self.fits[measure]
        variant = f"projected to {size:g}"
        self.value(measure, variant, fit.value_at(size), unit)
        self.value(f"{measure}_error", variant, fit.error_at(size), unit)
        return fit.value_at(size)
