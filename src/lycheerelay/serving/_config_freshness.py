"""Track how old the configuration of this process may be.

Load: a VM that cannot read the store, or that was frozen or suspended, does not
know which keys newer versions revoked.
"""

from typing import Final, final

# The clock of a VM may run this much slower than that of the store's operators.
CLOCK_MARGIN: Final = 0.04
# A read is repeated once it returns, so that the age reaches two waits and two
# replies. With this wait and replies of 240 ms, which a slow store takes, it stays
# below 0.36 of the bound: calls are then served for 0.6 of it after the last
# contact with the store.
WAIT_SHARE: Final = 0.12


@final
class ConfigFreshness:
    """Hold the latest time at which the configuration was the newest one."""

    def __init__(self, revocation_ms: int = 0) -> None:
        """Start without a proof; a bound of 0 trusts any configuration."""
        self.revocation_ms = revocation_ms
        self.confirmed_ms: int | None = None

    @property
    def is_bounded(self) -> bool:
        """Return whether calls are refused once the age is above a bound."""
        return self.revocation_ms > 0

    @property
    def max_age_ms(self) -> int:
        """Return the age in ms above which calls with keys are refused."""
        return int(self.revocation_ms * (1 - CLOCK_MARGIN))

    def confirm(self, sent_ms: int) -> None:
        """Record a read that was sent at this time and reached the end."""
        if self.confirmed_ms is None or sent_ms > self.confirmed_ms:
            self.confirmed_ms = sent_ms

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the configuration; None without a proof."""
        return None if self.confirmed_ms is None else now_ms - self.confirmed_ms

    def is_current(self, now_ms: int) -> bool:
        """Return whether calls with keys may be served."""
        if not self.is_bounded:
            return True
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms <= self.max_age_ms

    @property
    def longest_wait_ms(self) -> int:
        """Return how long a read may wait for a change without ageing."""
        return int(self.revocation_ms * WAIT_SHARE)
