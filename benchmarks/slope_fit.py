"""Fit a line to measured points and extrapolate it."""

from typing import NamedTuple


class Slope(NamedTuple):
    """Hold a fitted line; the residual is relative to the mean of y."""

    role: str
    x_unit: str
    y_unit: str
    points: list[tuple[float, float]]
    per_x: float
    at_zero: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size, at least 0."""
        return max(0, self.at_zero + self.per_x * size)

    @property
    def largest(self) -> float:
        """Return the largest measured size."""
        return max(size for size, _ in self.points)


def fit(
    role: str,
    x_unit: str,
    y_unit: str,
    points: list[tuple[float, float]],
) -> Slope:
    """Fit a line by least squares."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    per_x = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    at_zero = mean_y - per_x * mean_x
    squares = sum((y - at_zero - per_x * x) ** 2 for x, y in points)
    residual = (squares / count) ** 0.5 / abs(mean_y) if mean_y else 0
    return Slope(role, x_unit, y_unit, points, per_x, at_zero, residual)
