"""Select the policies of the scheduler."""

from typing import NamedTuple


class Policies(NamedTuple):
    """Name the policy of each decision, from the registry of that decision.

    `spare_reserved` says whether tasks avoid workers that were reserved in the
    previous cycle. `reserving_steps` is the number of steps of a pool for which capacity is
    reserved in each scheduling cycle. More reservations would leave too much
    of it idle. `tenant_order` replaces `order` in a cell with tenants.
    """

    order: str = 'slack'
    gangs: str = 'planned'
    call_sizes: str = 'by_need'
    advice_targets: str = 'spread'
    spare_reserved: bool = True
    reserving_steps: int = 5
    result_waits: str = 'last_tasks'
    contact: str = 'second_miss'
    suspects: str = 'first_start'
    tenant_order: str = 'fair'
