"""Group the parts of an entry VM that execute the core's commands."""

from typing import NamedTuple

from ._journal import Journal
from ._mark_store import MarkStore
from ._replies import PendingReplies
from ._sender import Sender
from ._watchers import Watchers
from ._worker_links import WorkerLinks


class NodeParts(NamedTuple):
    """Hold the parts of one entry VM that the core's commands use."""

    journal: Journal
    sender: Sender
    replies: PendingReplies
    watchers: Watchers
    marks: MarkStore
    links: WorkerLinks
