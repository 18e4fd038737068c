"""Replicate batches to a standby entry VM while the log is down."""

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

# Log lines show this name as `part`, so it does not follow the module's name.
LOGGER: Final = logging.getLogger('lycheerelay._holding')


@final
class StandbyReplication:
    """Store this node's batches on other entry VMs, and theirs here.

    One standby is enough for a batch. A claim of a term needs every known
    entry VM of the domain except the owner that it replaces: after that the
    replaced owner finds no standby, and the claimant has received every
    batch that one of them stores.
    """

    def __init__(self, journal: 'Journal', standby_peers: StandbyPeers) -> None:
        """Start without stored batches."""
        self.journal = journal
        self.standby_peers = standby_peers
        self.peer_numbers: dict[str, dict[str, int]] = {}
        self.is_available = False
        self.last_maybe_stored = 0

    def replicate(self, batch: Batch) -> None:
        """Apply the batch once enough standbys store it."""
        if self.last_maybe_stored != batch.number:
            batch = self._drop_lost_claims(batch)
        if _has_claim(batch):
            enough = self._store_at_all(batch)
        else:
            enough = self._store_at_any()
            self.is_available = enough
        if enough:
            stored = batch._replace(held=True)
            self.journal.outbox.replace(stored)
            self.journal.apply(stored, held=True)

    def probe(self) -> None:
        """Check whether a standby accepts batches now."""
        self.is_available = self._store_at_any()

    def handle_request(self, request: StandbyRequest) -> StandbyReply:
        """Store the batches of another node, or return why not."""
        journal = self.journal
        with journal.lock:
            status = self._process_request(request)
            missing = journal.outbox.batches_after(request.have)
            return StandbyReply(
                status,
                dict(journal.seen.last_numbers),
                encode_batches(missing),
            )

    def _store_at_any(self) -> bool:
        # Pool owners come first: they must see the records of their pools.
        owners = set(map(name_of, self.journal.terms.owners.values()))
        live = self.standby_peers.names()
        first = [name for name in live if name in owners]
        others = [name for name in live if name not in owners]
        return any(self._store_at(name) for name in (*first, *others))

    def _store_at_all(self, batch: Batch) -> bool:
        replaced = {
            name_of(self.journal.terms.owners.get(record.pool, ''))
            for record in batch.records
            if isinstance(record, TermTaken)
        }
        needed = set(self.standby_peers.all_names()) - replaced
        return all(self._store_at(name) for name in sorted(needed))

    def _store_at(self, name: str) -> bool:
        # The reply to a gap tells which batches the standby has, so that the
        # second request sends the missing ones.
        status = self._send_request(name)
        if status is StandbyStatus.GAP:
            status = self._send_request(name)
        return status is StandbyStatus.STORED

    def _send_request(self, name: str) -> StandbyStatus | None:
        outcome = self.standby_peers.hold(name, self._request(name))
        if isinstance(outcome, Err):
            self.last_maybe_stored = self.journal.number
            return None
        reply = outcome.ok_value
        if reply.verdict is StandbyStatus.STORED:
            self.last_maybe_stored = self.journal.number
        self.peer_numbers[name] = reply.have
        self._store_missing(reply)
        return reply.verdict

    def _drop_lost_claims(self, batch: Batch) -> Batch:
        # A claim of a term that another node took would block every later
        # batch. It may be dropped only while no standby can have stored it.
        journal = self.journal
        records = tuple(
            record
            for record in batch.records
            if not isinstance(record, TermTaken)
            or not journal.terms.is_taken(record)
        )
        if len(records) == len(batch.records):
            return batch
        rest = batch._replace(records=records)
        journal.replace_in_flight(rest)
        return rest

    def _request(self, name: str) -> StandbyRequest:
        journal = self.journal
        with journal.lock:
            last_numbers = self.peer_numbers.get(name, {})
            batches = journal.outbox.batches_after(last_numbers)
            entry = encode_batches(batches)
            return StandbyRequest(
                journal.settings.name,
                entry,
                dict(journal.seen.last_numbers),
                dict(journal.terms.terms),
            )

    def _store_missing(self, reply: StandbyReply) -> None:
        batches = decode_batches(reply.entry)
        if isinstance(batches, Err):
            LOGGER.error('standby reply is unreadable: %s', batches.err_value)
            return
        with self.journal.lock:
            for batch in batches.ok_value:
                self._store(batch)

    def _process_request(self, request: StandbyRequest) -> StandbyStatus:
        journal = self.journal
        if not journal.health.is_down:
            return StandbyStatus.LOG_OK
        batches = decode_batches(request.entry)
        if isinstance(batches, Err):
            return StandbyStatus.GAP
        new = [
            batch
            for batch in batches.ok_value
            if not journal.seen.has_seen(batch)
        ]
        incoming = sum(len(batch.records) for batch in new)
        free = journal.settings.max_held_records - journal.outbox.records
        if incoming > free:
            return StandbyStatus.FULL
        return self._store_all(new, request.terms)

    def _store_all(
        self,
        batches: list[Batch],
        terms: dict[str, int],
    ) -> StandbyStatus:
        for batch in batches:
            if self.journal.terms.is_outdated(batch, terms):
                return StandbyStatus.STALE
            if not self._store(batch):
                return StandbyStatus.GAP
        return StandbyStatus.STORED

    def _store(self, batch: Batch) -> bool:
        journal = self.journal
        if journal.seen.has_seen(batch):
            return True
        if not journal.seen.follows(batch):
            return False
        journal.apply(batch, held=True)
        journal.outbox.add(batch._replace(held=True))
        return True


def _has_claim(batch: Batch) -> bool:
    return any(isinstance(record, TermTaken) for record in batch.records)
