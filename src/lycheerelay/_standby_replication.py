"""Let records take effect on two entry VMs while the log is down."""

import logging
from typing import TYPE_CHECKING, Final, final

from result import Err

from ._members import name_of
from ._record_codec import Batch, decode_batches, encode_batches
from ._records import TermTaken
from ._standby_messages import (
    StandbyPeers,
    StandbyReply,
    StandbyRequest,
    StandbyStatus,
)

if TYPE_CHECKING:
    from ._journal import Journal

LOGGER: Final = logging.getLogger('lycheerelay._holding')


@final
class StandbyReplication:
    """Ask others to keep this node's batches, and keep theirs.

    One second holder is enough for a batch. A claim of a term needs every
    known entry VM of the domain but the owner it replaces: then the replaced
    owner finds no second holder any more, and the claimant learns every
    batch that one of them keeps.
    """

    def __init__(self, journal: 'Journal', standby_peers: StandbyPeers) -> None:
        """Keep nothing yet."""
        self.journal = journal
        self.standby_peers = standby_peers
        self.peer_have: dict[str, dict[str, int]] = {}
        self.works = False
        self.maybe_kept = 0

    def hold(self, batch: Batch) -> None:
        """Make the batch effective once enough holders keep it."""
        if self.maybe_kept != batch.number:
            batch = self._drop_past_claims(batch)
        if _claims(batch):
            enough = self._hold_at_all(batch)
        else:
            enough = self._hold_at_one()
            self.works = enough
        if enough:
            kept = batch._replace(held=True)
            self.journal.outbox.replace(kept)
            self.journal.apply(kept, held=True)

    def probe(self) -> None:
        """Learn whether a second holder would keep a batch now."""
        self.works = self._hold_at_one()

    def take(self, request: StandbyRequest) -> StandbyReply:
        """Keep another node's batches, or say why not."""
        journal = self.journal
        with journal.lock:
            verdict = self._judge(request)
            lacking = journal.outbox.lacking(request.have)
            return StandbyReply(
                verdict,
                dict(journal.seen.last_numbers),
                encode_batches(lacking),
            )

    def _hold_at_one(self) -> bool:
        # A pool's owner comes first: it must see what others keep for it.
        owners = set(map(name_of, self.journal.terms.owners.values()))
        live = self.standby_peers.names()
        first = [name for name in live if name in owners]
        others = [name for name in live if name not in owners]
        return any(self._ask(name) for name in (*first, *others))

    def _hold_at_all(self, batch: Batch) -> bool:
        replaced = {
            name_of(self.journal.terms.owners.get(record.pool, ''))
            for record in batch.records
            if isinstance(record, TermTaken)
        }
        needed = set(self.standby_peers.all_names()) - replaced
        return all(self._ask(name) for name in sorted(needed))

    def _ask(self, name: str) -> bool:
        verdict = self._ask_once(name)
        if verdict is StandbyStatus.GAP:
            verdict = self._ask_once(name)
        return verdict is StandbyStatus.HELD

    def _ask_once(self, name: str) -> StandbyStatus | None:
        outcome = self.standby_peers.hold(name, self._request(name))
        if isinstance(outcome, Err):
            self.maybe_kept = self.journal.number
            return None
        reply = outcome.ok_value
        if reply.verdict is StandbyStatus.HELD:
            self.maybe_kept = self.journal.number
        self.peer_have[name] = reply.have
        self._learn(reply)
        return reply.verdict

    def _drop_past_claims(self, batch: Batch) -> Batch:
        # A claim that lost would keep every later batch waiting; it may go
        # only while it is certain that nobody keeps the batch.
        journal = self.journal
        kept = tuple(
            record
            for record in batch.records
            if not isinstance(record, TermTaken)
            or not journal.terms.is_past(record)
        )
        if len(kept) == len(batch.records):
            return batch
        rest = batch._replace(records=kept)
        journal.replace_flight(rest)
        return rest

    def _request(self, name: str) -> StandbyRequest:
        journal = self.journal
        with journal.lock:
            have = self.peer_have.get(name, {})
            entry = encode_batches(journal.outbox.lacking(have))
            return StandbyRequest(
                journal.settings.name,
                entry,
                dict(journal.seen.last_numbers),
                dict(journal.terms.terms),
            )

    def _learn(self, reply: StandbyReply) -> None:
        batches = decode_batches(reply.entry)
        if isinstance(batches, Err):
            LOGGER.error('holder: %s', batches.err_value)
            return
        with self.journal.lock:
            for batch in batches.ok_value:
                self._keep(batch)

    def _judge(self, request: StandbyRequest) -> StandbyStatus:
        journal = self.journal
        if not journal.health.is_down:
            return StandbyStatus.LOG_OK
        batches = decode_batches(request.entry)
        if isinstance(batches, Err):
            return StandbyStatus.GAP
        fresh = [
            batch
            for batch in batches.ok_value
            if not journal.seen.has_seen(batch)
        ]
        incoming = sum(len(batch.records) for batch in fresh)
        room = journal.settings.max_held_records - journal.outbox.records
        if incoming > room:
            return StandbyStatus.FULL
        return self._keep_all(fresh, request.terms)

    def _keep_all(
        self,
        batches: list[Batch],
        terms: dict[str, int],
    ) -> StandbyStatus:
        for batch in batches:
            if self.journal.terms.outdates(batch, terms):
                return StandbyStatus.STALE
            if not self._keep(batch):
                return StandbyStatus.GAP
        return StandbyStatus.HELD

    def _keep(self, batch: Batch) -> bool:
        journal = self.journal
        if journal.seen.has_seen(batch):
            return True
        if not journal.seen.follows(batch):
            return False
        journal.apply(batch, held=True)
        journal.outbox.add(batch._replace(held=True))
        return True


def _claims(batch: Batch) -> bool:
    return any(isinstance(record, TermTaken) for record in batch.records)
