"""Limit the work of tenants in a wait forecast to their quotas.

Load: tenants with backlogs far above their quotas. Only what their quotas let
run uses capacity that others wait for.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple, final

from .._resources import Resources
from ._state import StepInfo
from ._tenants import TenantAccount, count_fitting_tasks


class HeldTasks(NamedTuple):
    """Tasks of a step that its quota holds back."""

    step: StepInfo
    tasks: int


@dataclass(slots=True, eq=False)
class AccountForecast:
    """Track what the quota of a tenant leaves, and what it holds back."""

    free: Resources
    held: deque[HeldTasks] = field(default_factory=deque)


@final
class QuotaForecast:
    """Track the quotas of all tenants over one forecast."""

    def __init__(self) -> None:
        """Start with the current usage of each tenant."""
        self.accounts: dict[TenantAccount, AccountForecast] = {}

    def admit(self, step: StepInfo) -> int:
        """Return how many waiting tasks may start, and hold the others."""
        account = step.job.account
        waiting = len(step.waiting)
        if account is None:
            return waiting
        if not account.can_ever_fit(_smallest_start(step)):
            return 0
        forecast = self._forecast_of(account)
        admitted = 0 if forecast.held else _take(forecast, step, waiting)
        if admitted < waiting:
            forecast.held.append(HeldTasks(step, waiting - admitted))
        return admitted

    def release(self, step: StepInfo, tasks: int) -> list[HeldTasks]:
        """Return the held tasks that may start after the end of others."""
        account = step.job.account
        if account is None:
            return []
        forecast = self._forecast_of(account)
        ended = step.spec.charged_demand.times(tasks)
        forecast.free = forecast.free.plus(ended)
        started: list[HeldTasks] = []
        while forecast.held:
            held, waiting = forecast.held.popleft()
            admitted = _take(forecast, held, waiting)
            if admitted:
                started.append(HeldTasks(held, admitted))
            if admitted < waiting:
                forecast.held.appendleft(HeldTasks(held, waiting - admitted))
                break
        return started

    def _forecast_of(self, account: TenantAccount) -> AccountForecast:
        forecast = self.accounts.get(account)
        if forecast is None:
            forecast = AccountForecast(account.free)
            self.accounts[account] = forecast
        return forecast


def _smallest_start(step: StepInfo) -> Resources:
    demand = step.spec.charged_demand
    return demand.times(len(step.waiting)) if step.spec.gang else demand


def _take(forecast: AccountForecast, step: StepInfo, count: int) -> int:
    demand = step.spec.charged_demand
    admitted = min(count_fitting_tasks(demand, forecast.free), count)
    if step.spec.gang and admitted < count:
        return 0
    forecast.free = forecast.free.minus(demand.times(admitted))
    return admitted
