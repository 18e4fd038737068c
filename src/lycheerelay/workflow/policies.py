"""Provide the policies of the scheduler and the registry of each decision."""

from ._call_sizes import CALL_SIZES
from ._call_targets import TARGET_ORDERS
from ._contact import CONTACT_RULES
from ._gangs import GANG_POLICIES
from ._order import ORDERS
from ._policies import Policies
from ._result_waits import RESULT_WAITS

__all__ = (
    'CALL_SIZES',
    'CONTACT_RULES',
    'GANG_POLICIES',
    'ORDERS',
    'RESULT_WAITS',
    'TARGET_ORDERS',
    'Policies',
)
