"""Run one entry VM: callers, the owner's cell, and the calls between them."""

from ._advice_desk import AdviceDesk
from ._config_watch import ConfigWatch
from ._context import Limits, OwnerContext
from ._desk import Desk, Outcome, Verdict
from ._dump import dump_process
from ._event_log import set_up_event_log
from ._http_calls import (
    NO_ANSWER,
    NOT_SENT,
    Caller,
    HttpCalls,
    Reply,
    post_json,
)
from ._internal import Internal
from ._listings import ListingReader
from ._meters import Meters
from ._owner import Owner, clear_ms
from ._peers import Peers
from ._ports import (
    Advised,
    Advisor,
    Group,
    Held,
    HoldOrder,
    KeyedLog,
    KeyedRecord,
    LogFault,
    PaceOrder,
    Seat,
    Slice,
    StartOrder,
    StopOrder,
    Stream,
    Workers,
    Writer,
)
from ._queues import Queue, QueueTable
from ._tenure import GROUP_TTL_MS, SeatTimes, Tenure, claim_delay_ms
from ._terms import Terms
from ._workflow_api import WorkflowApi, is_workflow_path

__all__ = (
    'GROUP_TTL_MS',
    'NOT_SENT',
    'NO_ANSWER',
    'Caller',
    'HttpCalls',
    'Reply',
    'Seat',
    'post_json',
    'AdviceDesk',
    'Advised',
    'Advisor',
    'ConfigWatch',
    'Desk',
    'Group',
    'Held',
    'HoldOrder',
    'Internal',
    'KeyedLog',
    'KeyedRecord',
    'Limits',
    'ListingReader',
    'LogFault',
    'Meters',
    'Outcome',
    'Owner',
    'OwnerContext',
    'PaceOrder',
    'Peers',
    'Queue',
    'QueueTable',
    'SeatTimes',
    'Slice',
    'StartOrder',
    'StopOrder',
    'Stream',
    'Tenure',
    'Terms',
    'Verdict',
    'WorkflowApi',
    'Workers',
    'Writer',
    'claim_delay_ms',
    'clear_ms',
    'dump_process',
    'is_workflow_path',
    'set_up_event_log',
)
