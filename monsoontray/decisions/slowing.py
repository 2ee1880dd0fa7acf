"""A Kalman filter of how a server slows down as it fills."""

from __future__ import annotations

import math

#: Elasticity of a server of which nothing is known, and its standard deviation.
PRIOR_ELASTICITY = 0.2
PRIOR_DEVIATION = 0.6
MAX_ELASTICITY = 1.5  # more makes no difference, and takes longer to unlearn
MAX_PACE_VARIANCE = 1.0
#: Variance that a second with calls adds to the pace, which calls of a moment share:
#: a slow spell, a cold start, or inner calls that wait elsewhere.
PACE_DRIFT_PER_S = 0.05
VARIANCE_WEIGHT = 0.02  # of the latest call in the variance of the calls' times
INITIAL_VARIANCE = 0.3  # of the logarithm of a call's time
#: Even regular calls are measured with an error, of one per cent of their times.
MIN_VARIANCE = 1e-4
MAX_DEVIATIONS = 2.5  # a call that lies further off counts as one that lies here


class SlowingFilter:
    """Estimate of a pace and of an elasticity from relative times of calls.

    A time is a logarithm: the pace, plus the elasticity times the load, plus noise. The
    covariance of pace and elasticity is kept in factors, as U·D·Uᵀ (Bierman's form).
    Both elements of D are only ever multiplied by positive numbers or added to, so that
    no rounding makes a variance negative; differences of covariances, as in the usual
    form of the update, lose all their digits when the noise is small.
    """

    __slots__ = (
        "_elasticity_variance",
        "_pace_remainder",
        "_slope",
        "_variance",
        "elasticity",
        "pace",
    )

    def __init__(self) -> None:
        self._variance = INITIAL_VARIANCE  # of the noise
        self.forget()

    def forget(self) -> None:
        """Begin anew with a server of which nothing is known."""
        self.pace = 0.0
        self.elasticity = PRIOR_ELASTICITY
        #: Diagonal of D: variance of the pace where the elasticity is known, and the
        #: variance of the elasticity. The slope of the first by the latter is U.
        self._pace_remainder = MAX_PACE_VARIANCE
        self._elasticity_variance = PRIOR_DEVIATION**2
        self._slope = 0.0

    @property
    def elasticity_variance(self) -> float:
        """Return the variance of the elasticity."""
        return self._elasticity_variance

    @property
    def pace_variance(self) -> float:
        """Return the variance of the pace."""
        return self._pace_remainder + self._slope**2 * self._elasticity_variance

    def drift(self, seconds: float, elasticity_drift_per_s: float) -> None:
        """Add the variance of a time in which pace and elasticity may have changed."""
        room = max(0.0, MAX_PACE_VARIANCE - self.pace_variance)
        self._pace_remainder += min(room, PACE_DRIFT_PER_S * seconds)
        known = self._elasticity_variance
        room = max(0.0, PRIOR_DEVIATION**2 - known)
        added = min(room, elasticity_drift_per_s * seconds)
        # The covariance stays, so that its part in the pace's variance gets smaller.
        share = known / (known + added)
        self._pace_remainder += self._slope**2 * known * (1.0 - share)
        self._slope *= share
        self._elasticity_variance = known + added

    def correct(self, time: float, load: float) -> None:
        """Learn from a call's relative time and load."""
        residual = time - self.pace - load * self.elasticity
        weight = self._slope + load
        known = self._pace_remainder + self._variance
        elasticity_gain = self._elasticity_variance * weight
        total = known + elasticity_gain * weight
        pace_gain = self._pace_remainder + self._slope * elasticity_gain

        bound = MAX_DEVIATIONS * math.sqrt(total)
        residual = max(-bound, min(bound, residual))
        self.pace += residual * pace_gain / total
        self.elasticity += residual * elasticity_gain / total
        self.elasticity = min(MAX_ELASTICITY, max(0.0, self.elasticity))

        self._slope -= self._pace_remainder * weight / known
        self._elasticity_variance *= known / total
        self._pace_remainder *= self._variance / known

        expected = total - self._variance
        noise = max(residual * residual - expected, 0.0)
        self._variance += (noise - self._variance) * VARIANCE_WEIGHT
        self._variance = max(self._variance, MIN_VARIANCE)
