"""Run one entry VM: request handling, owner election and the owner's cell."""

from ._advice_dispatcher import AdviceDispatcher
from ._caller_checks import STATUS_OF_CAUSE, CallerChecks
from ._channel_budget import ChannelBudget
from ._config_freshness import ConfigFreshness
from ._config_watch import ConfigWatch
from ._context import Limits, OwnerContext
from ._credentials import EVERYONE, Identity
from ._dump import dump_process
from ._event_log import set_up_event_log
from ._http_calls import (
    KEEP_ALIVE_S,
    MAX_CONNECTIONS_PER_HOST,
    NO_ANSWER,
    NO_CHANNEL,
    NOT_SENT,
    Caller,
    HttpCalls,
    Reply,
    post_json,
)
from ._internal_api import InternalApi
from ._listings import ListingReader
from ._metrics_registry import MetricsRegistry
from ._owner import Owner, previous_orders_expire_ms
from ._owner_elector import OwnerElector
from ._ownership_lease import (
    GROUP_TTL_MS,
    ElectionTimes,
    OwnershipLease,
    claim_delay_ms,
)
from ._peers import Peers
from ._ports import (
    AdviceReply,
    Advisor,
    Group,
    KeyedLog,
    KeyedRecord,
    LogFault,
    OwnerElection,
    PaceOrder,
    PollReply,
    PollRequest,
    RecordPage,
    StartOrder,
    StopOrder,
    StoreLimits,
    Stream,
    Workers,
    Writer,
    ignore_page,
)
from ._queues import CONFIG_KEY, Queue, QueueTable, digest_of
from ._request_handler import RequestHandler
from ._request_result import RequestResult, RequestStatus
from ._workflow_api import KEY_HEADER, WorkflowApi, is_workflow_path

__all__ = (
    'CONFIG_KEY',
    'EVERYONE',
    'GROUP_TTL_MS',
    'KEEP_ALIVE_S',
    'KEY_HEADER',
    'MAX_CONNECTIONS_PER_HOST',
    'STATUS_OF_CAUSE',
    'NOT_SENT',
    'NO_ANSWER',
    'NO_CHANNEL',
    'Caller',
    'ChannelBudget',
    'CallerChecks',
    'ConfigFreshness',
    'Identity',
    'digest_of',
    'HttpCalls',
    'Reply',
    'OwnerElection',
    'post_json',
    'AdviceDispatcher',
    'AdviceReply',
    'Advisor',
    'ConfigWatch',
    'RequestHandler',
    'Group',
    'PollReply',
    'PollRequest',
    'InternalApi',
    'KeyedLog',
    'KeyedRecord',
    'Limits',
    'ListingReader',
    'LogFault',
    'MetricsRegistry',
    'RequestResult',
    'Owner',
    'OwnerContext',
    'PaceOrder',
    'Peers',
    'Queue',
    'QueueTable',
    'ElectionTimes',
    'RecordPage',
    'StartOrder',
    'StopOrder',
    'StoreLimits',
    'Stream',
    'OwnershipLease',
    'OwnerElector',
    'RequestStatus',
    'WorkflowApi',
    'Workers',
    'Writer',
    'claim_delay_ms',
    'ignore_page',
    'previous_orders_expire_ms',
    'dump_process',
    'is_workflow_path',
    'set_up_event_log',
)
