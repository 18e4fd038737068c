"""Run journals of one domain through outages, lost replies and partitions.

Guards against records that are lost, applied twice or applied in another
order, and against an owner that goes on writing after it was replaced.
"""

import json
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from lycheerelay._clock import ManualClock
from lycheerelay._codec import dumps
from lycheerelay._http import CallError
from lycheerelay._journal import Journal, JournalSettings
from lycheerelay._log_client import LogEntry, LogPage
from lycheerelay._records import CancelAsked, TermTaken
from lycheerelay._standby_messages import (
    StandbyStatus,
    parse_reply,
    parse_request,
)


class FakeLog:
    """Store one stream; fail calls or lose replies on request."""

    def __init__(self):
        self.entries = []
        self.down = set()
        self.lose_replies = 0

    def view(self, name):
        return SimpleNamespace(
            append=lambda stream, value, timeout_ms=0: self.append(name, value),
            read=lambda stream, start, timeout_ms=0: self.read(name, start),
        )

    def append(self, name, value):
        if name in self.down:
            return Err(CallError('log', 'down'))
        self.entries.append(value)
        if self.lose_replies:
            self.lose_replies -= 1
            return Err(CallError('log', 'reply lost'))
        return Ok(len(self.entries) - 1)

    def read(self, name, start):
        if name in self.down:
            return Err(CallError('log', 'down'))
        entries = tuple(
            LogEntry(position, self.entries[position])
            for position in range(start, len(self.entries))
        )
        return Ok(LogPage(entries, 0, len(self.entries)))


class Domain:
    """Connect the journals of one failure domain without threads."""

    def __init__(self, *names, max_held=1000):
        self.clock = ManualClock(1_000_000)
        self.log = FakeLog()
        self.cut = set()
        self.lose_standby_replies = 0
        self.seen = {name: [] for name in names}
        self.journals = {
            name: Journal(
                self.log.view(name),
                SimpleNamespace(
                    names=lambda name=name: self.others(name),
                    all_names=lambda name=name: self.others(name, every=True),
                    hold=lambda to, request, name=name: self.hold(
                        name, to, request
                    ),
                ),
                JournalSettings(
                    'jobs.a', name, f'{name}@1', max_held_records=max_held
                ),
                self.clock,
                lambda record, held, name=name: self.seen[name].append(record),
            )
            for name in names
        }

    def others(self, name, every=False):
        return tuple(
            other
            for other in self.journals
            if other != name and (every or other not in self.cut)
        )

    def hold(self, sender, to, request):
        if {sender, to} & self.cut:
            return Err(CallError(to, 'cut off'))
        raw = json.loads(dumps(request))
        reply = self.journals[to].store_as_standby(parse_request(raw).unwrap())
        if self.lose_standby_replies:
            self.lose_standby_replies -= 1
            return Err(CallError(to, 'reply lost'))
        return parse_reply(json.loads(dumps(reply)))

    def take_down(self):
        self.log.down.update(self.journals)
        for _ in range(3):
            self.clock.advance(1000)
            for journal in self.journals.values():
                journal.read_to_end()

    def bring_back(self):
        self.log.down.clear()

    def commit(self, *names, rounds=1):
        for _ in range(rounds):
            for name in names or tuple(self.journals):
                if name not in self.cut:
                    self.journals[name].read_to_end()
                    self.journals[name].commit_once()
                    self.journals[name].read_to_end()


def record(number, pool='p'):
    return CancelAsked(pool, f'a.{number}', number)


def test_lost_append_reply_neither_loses_nor_repeats():
    domain = Domain('e1', 'e2')
    domain.log.lose_replies = 1
    domain.journals['e1'].append(record(1))
    domain.commit(rounds=3)
    assert domain.seen == {'e1': [record(1)], 'e2': [record(1)]}
    assert domain.journals['e1'].in_flight is None


def test_pending_records_share_one_append():
    domain = Domain('e1')
    for number in range(200):
        domain.journals['e1'].append(record(number))
    domain.commit()
    assert len(domain.log.entries) == 1
    assert len(domain.seen['e1']) == 200


def test_records_take_effect_in_an_outage_once_a_standby_stores_them():
    domain = Domain('e1', 'e2', 'e3')
    domain.take_down()
    domain.journals['e1'].append(record(1))
    domain.commit('e1')
    assert domain.seen['e1'] == [record(1)]
    assert domain.seen['e2'] == [record(1)]
    domain.bring_back()
    domain.commit(rounds=2)
    assert domain.seen['e3'] == [record(1)]
    assert domain.journals['e1'].outbox.records == 0
    assert domain.journals['e2'].outbox.records == 0


def test_nothing_takes_effect_in_an_outage_without_a_standby():
    domain = Domain('e1', 'e2')
    domain.cut.add('e2')
    domain.take_down()
    journal = domain.journals['e1']
    journal.standby.probe()
    journal.append(record(1))
    domain.commit('e1')
    assert domain.seen['e1'] == []
    assert not journal.can_keep
    domain.cut.clear()
    domain.bring_back()
    domain.commit()
    assert domain.seen['e1'] == [record(1)]


def test_standby_that_read_less_of_the_log_catches_up():
    domain = Domain('e1', 'e2')
    domain.journals['e1'].append(record(1))
    domain.commit('e1')
    domain.take_down()
    domain.journals['e1'].append(record(2))
    domain.commit('e1')
    assert domain.seen['e2'] == [record(1), record(2)]


def test_claimant_receives_what_the_replaced_owner_replicated():
    domain = Domain('e1', 'e2', 'e3')
    domain.journals['e1'].append(TermTaken('p', 1, 'e1@1', 0))
    domain.commit()
    domain.take_down()
    domain.journals['e1'].append(record(1))
    domain.commit('e1')
    standby = 'e2' if record(1) in domain.seen['e2'] else 'e3'
    claimant = 'e3' if standby == 'e2' else 'e2'
    domain.cut.add('e1')
    domain.journals[claimant].append(TermTaken('p', 2, claimant, 0))
    domain.commit(claimant)
    assert domain.seen[claimant][-2:] == [
        record(1),
        TermTaken('p', 2, claimant, 0),
    ]


def test_replaced_owner_finds_no_standby():
    domain = Domain('e1', 'e2', 'e3')
    domain.journals['e1'].append(TermTaken('p', 1, 'e1@1', 0))
    domain.commit()
    domain.take_down()
    domain.cut.add('e1')
    domain.journals['e2'].append(TermTaken('p', 2, 'e2', 0))
    domain.commit('e2')
    domain.cut.clear()
    request = domain.journals['e1'].standby._request('e3')
    late = request._replace(
        entry={
            'batches': [
                {
                    'writer': 'e1@1',
                    'number': 2,
                    'records': [
                        ['CancelAsked', record(9)._asdict()],
                    ],
                }
            ]
        }
    )
    reply = domain.journals['e3'].store_as_standby(late)
    assert reply.verdict is StandbyStatus.STALE
    assert record(9) not in domain.seen['e3']


def test_claim_needs_every_other_known_entry_vm():
    domain = Domain('e1', 'e2', 'e3')
    domain.journals['e1'].append(TermTaken('p', 1, 'e1@1', 0))
    domain.commit()
    domain.take_down()
    domain.cut.update({'e1', 'e2'})
    domain.journals['e3'].append(TermTaken('p', 2, 'e3', 0))
    domain.commit('e3')
    assert TermTaken('p', 2, 'e3', 0) not in domain.seen['e3']


def test_lost_claim_does_not_block_later_records():
    domain = Domain('e1', 'e2', 'e3')
    domain.journals['e1'].append(TermTaken('p', 1, 'e1@1', 0))
    domain.commit()
    domain.take_down()
    domain.cut.add('e1')
    domain.journals['e2'].append(TermTaken('p', 2, 'e2', 0))
    domain.commit('e2')
    domain.journals['e3'].append(TermTaken('p', 2, 'e3', 0))
    domain.journals['e3'].append(record(5, 'q'))
    domain.commit('e3', rounds=2)
    assert record(5, 'q') in domain.seen['e3']
    assert domain.journals['e3'].terms.owners['p'] == 'e2'


def test_backlog_is_bounded_and_reported_as_full():
    domain = Domain('e1', 'e2', max_held=10)
    domain.take_down()
    for number in range(30):
        domain.journals['e1'].append(record(number))
        domain.commit('e1')
    assert len(domain.seen['e1']) <= 10
    assert not domain.journals['e1'].can_keep
    domain.bring_back()
    domain.commit(rounds=4)
    assert domain.seen['e1'] == [record(number) for number in range(30)]
    assert domain.seen['e2'] == domain.seen['e1']


def test_backlog_drains_in_few_appends():
    domain = Domain('e1', 'e2')
    domain.take_down()
    for number in range(200):
        domain.journals['e1'].append(record(number))
        domain.commit('e1')
    domain.bring_back()
    domain.commit(rounds=2)
    assert len(domain.log.entries) <= 3
    assert domain.seen['e1'] == [record(number) for number in range(200)]


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                'write',
                'commit',
                'down',
                'back',
                'lose',
                'lose_standby',
                'cut',
            ],
        ),
        st.sampled_from(['e1', 'e2', 'e3']),
    ),
    max_size=40,
)


@pytest.mark.parametrize('names', [('e1', 'e2'), ('e1', 'e2', 'e3')])
@settings(max_examples=150, derandomize=True, deadline=None)
@given(actions=ACTIONS)
def test_every_node_sees_every_record_once_in_writer_order(names, actions):
    domain = Domain(*names)
    written = {name: [] for name in names}
    number = 0
    for action, name in actions:
        if name not in names:
            continue
        if action == 'write':
            number += 1
            written[name].append(record(number, name))
            domain.journals[name].append(written[name][-1])
        elif action == 'commit':
            domain.commit(name)
        elif action == 'down':
            domain.take_down()
        elif action == 'back':
            domain.bring_back()
        elif action == 'lose':
            domain.log.lose_replies += 1
        elif action == 'lose_standby':
            domain.lose_standby_replies += 1
        else:
            domain.cut ^= {name}
        for seen in domain.seen.values():
            assert len(seen) == len(set(seen))
    domain.cut.clear()
    domain.bring_back()
    domain.log.lose_replies = domain.lose_standby_replies = 0
    domain.clock.advance(10_000)
    domain.commit(rounds=number + 3)
    for seen in domain.seen.values():
        for writer, records in written.items():
            own = [record for record in seen if record.pool == writer]
            assert own == records
