"""Estimators that follow noisy samples, each from an initial value."""

import math

import attrs

__all__ = ["DurationFactor", "RunningMean", "Spread", "TwoTermEstimate"]

# A sample counts as at most twice its prediction, so that one outlier moves a settled
# estimate by less than a tenth.
_MAX_RELATIVE_ERROR = 1.0
_RELATIVE_NOISE = 0.1  # variance of measured by predicted duration of a turn
_PRIOR_VARIANCE = 0.5  # of the factors of the constants
# Variance that a factor gains with each sample; settles at a gain of 0.07.
_DRIFT = 0.0005
_FACTOR_LIMITS = (0.05, 20.0)
_PRIOR_SPREAD = 0.25
_SPREAD_WEIGHT = 10.0
# Variance of the logarithm of the factors 0.7 to 1.7 by which servers differ.
_SERVER_VARIANCE = 0.08
_SERVER_DRIFT = 0.0002
_MAX_DEVIATIONS = 2.0
_EXPONENTIAL_SPREAD = math.pi**2 / 6  # of exponentially distributed durations


def _clamp(value: float, lowest: float, highest: float) -> float:
    return min(highest, max(lowest, value))


@attrs.define
class RunningMean:
    """A mean whose first samples weigh most.

    The initial value counts as `weight` samples. Each sample counts at least as one of
    `max_weight`, so that the mean follows changes.
    """

    mean: float
    weight: float = 1.0
    max_weight: float = 100.0

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.weight = min(self.max_weight, self.weight + 1.0)
        self.mean += (sample - self.mean) / self.weight


@attrs.define
class TwoTermEstimate:
    """Factors of the two terms of a duration, learned from samples of the sum.

    Recursive least squares: the variances and the covariance tell how far each factor
    is still uncertain, and so which of them a sample corrects.
    """

    first: float = 1.0
    second: float = 1.0
    first_variance: float = _PRIOR_VARIANCE
    second_variance: float = _PRIOR_VARIANCE
    covariance: float = 0.0

    def predict_ms(self, first_ms: float, second_ms: float) -> float:
        """Return the expected duration for the unscaled terms."""
        return self.first * first_ms + self.second * second_ms

    def add(self, first_ms: float, second_ms: float, measured_ms: float) -> None:
        """Correct the factors by a measured duration and its unscaled terms."""
        predicted_ms = self.predict_ms(first_ms, second_ms)
        if predicted_ms <= 0.0:
            return
        first, second = first_ms / predicted_ms, second_ms / predicted_ms
        error = min(_MAX_RELATIVE_ERROR, measured_ms / predicted_ms - 1.0)
        first_share = self.first_variance * first + self.covariance * second
        second_share = self.covariance * first + self.second_variance * second
        total = first * first_share + second * second_share + _RELATIVE_NOISE
        self.first = _clamp(self.first + first_share / total * error, *_FACTOR_LIMITS)
        self.second = _clamp(
            self.second + second_share / total * error, *_FACTOR_LIMITS
        )
        self.first_variance -= first_share * first_share / total
        self.covariance -= first_share * second_share / total
        self.second_variance -= second_share * second_share / total
        if self.first_variance < _PRIOR_VARIANCE:
            self.first_variance += _DRIFT
        if self.second_variance < _PRIOR_VARIANCE:
            self.second_variance += _DRIFT


@attrs.define
class Spread:
    """Mean and variance of the logarithm of measured by expected durations."""

    log_mean: RunningMean = attrs.Factory(lambda: RunningMean(0.0, _SPREAD_WEIGHT))
    log_variance: RunningMean = attrs.Factory(
        lambda: RunningMean(_PRIOR_SPREAD, _SPREAD_WEIGHT)
    )

    def add(self, log_ratio: float) -> float:
        """Add a sample; return its deviation from the mean before it."""
        deviation = log_ratio - self.log_mean.mean
        self.log_mean.add(log_ratio)
        self.log_variance.add(deviation * deviation)
        return deviation

    @property
    def rest_fraction(self) -> float:
        """Return the part of its expected duration that any running call has left.

        It is 0 for calls of equal duration and 1 for exponentially distributed ones,
        of which the time elapsed tells nothing.
        """
        return min(1.0, math.sqrt(self.log_variance.mean / _EXPONENTIAL_SPREAD))


@attrs.define
class DurationFactor:
    """By how much longer calls take on one server than on others of its service.

    It stays near 1 while samples are few or widely spread.
    """

    log_factor: float = 0.0
    variance: float = _SERVER_VARIANCE

    @property
    def factor(self) -> float:
        """Return the factor of durations, 2 for a server of half the speed."""
        return math.exp(self.log_factor)

    def add(self, log_ratio: float, noise: float) -> None:
        """Add the logarithm of measured duration by the mean of all servers.

        `noise` is the variance of such samples on one server, of which few are known.
        """
        noise = max(noise, _RELATIVE_NOISE)
        limit = _MAX_DEVIATIONS * math.sqrt(noise + self.variance)
        error = _clamp(log_ratio - self.log_factor, -limit, limit)
        gain = self.variance / (self.variance + noise)
        self.log_factor += gain * error
        self.variance = min(
            _SERVER_VARIANCE, self.variance * (1.0 - gain) + _SERVER_DRIFT
        )
