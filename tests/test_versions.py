"""Publish, fold and follow configurations on a log with several writers.

Guards against readers that disagree on a version, against publications that
overwrite each other, and against versions lost in an outage or by expiry.
"""

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from lycheerelay._codec import to_json
from lycheerelay._config_follow import ConfigFollower, FollowSettings
from lycheerelay._config_publish import FileBase, bases_of
from lycheerelay._hashing import digest_of
from lycheerelay._http import CallError, HttpCaller
from lycheerelay._log_client import LogEntry, LogPage
from lycheerelay._versions import ConfigEntry
from lycheerelay._web import Response, WebServer, route
from lycheerelay.clock import ManualClock
from lycheerelay.codes import Code
from lycheerelay.folder import FolderFile
from lycheerelay.versions import (
    FileChange,
    Publication,
    PublishRequest,
    Verdict,
    VersionedConfig,
    decode_entry,
    encode_entry,
    fold,
    publish,
    skip_to,
    snapshot_of,
)

TEAM = '[team t]\nshare = {}\n'


class MemoryLog:
    """Store one stream; fail calls or lose replies on request.

    Entries in `rivals` are written before the next append.
    """

    def __init__(self):
        self.entries, self.first = [], 0
        self.lose_replies, self.fail_reads, self.drop_appends = 0, False, 0
        self.rivals = []

    def append(self, stream, value, timeout_ms=1000):
        while self.rivals:
            self.entries.append(self.rivals.pop(0))
        if self.drop_appends:
            self.drop_appends -= 1
            return Err(CallError('', 'refused'))
        self.entries.append(value)
        if self.lose_replies:
            self.lose_replies -= 1
            return Err(CallError('', 'lost'))
        return Ok(len(self.entries) - 1)

    def read(self, stream, from_offset, timeout_ms=1000):
        if self.fail_reads:
            return Err(CallError('', 'down'))
        start = max(from_offset, self.first)
        part = enumerate(self.entries[start:], start)
        entries = tuple(LogEntry(*pair) for pair in part)
        return Ok(LogPage(entries, self.first, len(self.entries)))


class Members:
    def __init__(self, values=(), addresses=()):
        self.values, self.addresses = dict(values), dict(addresses)

    def alive_in_domain(self):
        return ('e1', 'e2')

    def address_of(self, name):
        return self.addresses.get(name)

    def seen_values(self):
        return self.values

    def publish(self, key, value):
        return True


def request(files, bases=(), batch='b'):
    folder = tuple(FolderFile(*pair) for pair in sorted(files.items()))
    return PublishRequest(batch, 'op', folder, bases)


def clock():
    return ManualClock(1_000_000)


def test_conflict_names_the_file_and_the_version_that_came_first():
    log = MemoryLog()
    first = publish(log, clock(), request({'a.ini': TEAM.format(1)})).unwrap()
    bases = bases_of(first.config.files)
    won = request({'a.ini': TEAM.format(2)}, bases, 'x')
    lost = request({'a.ini': TEAM.format(3)}, bases, 'y')
    assert publish(log, clock(), won).unwrap().config.version == 2
    refusal = publish(log, clock(), lost).unwrap_err()
    assert refusal.code is Code.VERSION_CONFLICT
    assert refusal.detail == 'a.ini: version 2 came first'
    assert len(log.entries) == 2


def test_race_on_one_file_is_decided_by_log_order():
    log, other = MemoryLog(), MemoryLog()
    publish(other, clock(), request({'a.ini': TEAM.format(9)}, (), 'rival'))
    log.rivals = other.entries
    refusal = publish(
        log,
        clock(),
        request({'a.ini': TEAM.format(1)}),
    ).unwrap_err()
    assert refusal.detail == 'a.ini: version 1 came first'


def test_publication_overtaken_by_another_file_is_repeated():
    log, other = MemoryLog(), MemoryLog()
    publish(other, clock(), request({'b.ini': TEAM.format(9)}, (), 'rival'))
    log.rivals = other.entries
    done = publish(log, clock(), request({'a.ini': TEAM.format(1)})).unwrap()
    assert [entry.name for entry in done.config.files] == ['a.ini', 'b.ini']
    assert done.config.version == 3


def test_merge_with_a_rival_publication_is_checked():
    log, other = MemoryLog(), MemoryLog()
    pool = {'p.ini': '[pool p]\n'}
    first = publish(log, clock(), request(pool)).unwrap()
    other.entries = list(log.entries)
    gone = request({}, bases_of(first.config.files), 'rival')
    publish(other, clock(), gone).unwrap()
    log.rivals = other.entries[1:]
    refusal = publish(
        log,
        clock(),
        request(
            {**pool, 'b.ini': '[batch b]\npool = p\n'},
            bases_of(first.config.files),
        ),
    ).unwrap_err()
    assert refusal.code is Code.BAD_FOLDER
    assert 'b.ini: [batch b] pool' in refusal.detail


def test_lost_reply_publishes_once():
    log = MemoryLog()
    log.lose_replies = 1
    done = publish(log, clock(), request({'a.ini': TEAM.format(1)})).unwrap()
    assert (done.config.version, len(log.entries)) == (1, 1)
    log.drop_appends = 1
    again = request({'a.ini': TEAM.format(2)}, bases_of(done.config.files))
    assert publish(log, clock(), again).unwrap().config.version == 2


def test_unchanged_file_neither_reverts_nor_conflicts():
    log = MemoryLog()
    publish(log, clock(), request({'a.ini': TEAM.format(1)})).unwrap()
    old = (FileBase('a.ini', 1, digest_of(TEAM.format(1))),)
    newer = request({'a.ini': TEAM.format(5)}, old, 'x')
    publish(log, clock(), newer).unwrap()
    mine = {'a.ini': TEAM.format(1), 'b.ini': '[pool p]\n'}
    done = publish(log, clock(), request(mine, old, 'y')).unwrap()
    assert done.changed == ('b.ini',)
    assert done.config.file('a.ini').content == TEAM.format(5)


names = st.sampled_from(['a', 'b', 'c'])
change = st.builds(
    FileChange,
    names,
    st.integers(0, 12),
    st.none() | st.sampled_from(['x', 'y']),
)
moves = st.lists(
    st.one_of(
        st.tuples(st.integers(0, 2), st.lists(change, max_size=2)),
        st.just('snapshot'),
    ),
    max_size=14,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(moves=moves, cut=st.integers(0, 14))
def test_every_reader_agrees_and_versions_never_decrease(moves, cut):
    entries, config, history = [], VersionedConfig(), []
    for offset, move in enumerate(moves):
        if move == 'snapshot':
            entry = ConfigEntry(snapshot=snapshot_of(config, 0))
        else:
            after = max(config.version - move[0], 0)
            changes = tuple(
                one._replace(base=config.base_of(one.name))
                if one.base > 3
                else one
                for one in move[1]
            )
            entry = ConfigEntry(Publication('b', 'op', after, changes, 0))
        entries.append(entry)
        older = config
        config, outcome = fold(config, offset, entry)
        assert config.version >= older.version
        applied = outcome.verdict is Verdict.APPLIED
        assert applied == (config.version == offset + 1)
        history.append(config)
    late = skip_to(VersionedConfig(), min(cut, len(entries)))
    for offset in range(late.read_to, len(entries)):
        late, _ = fold(late, offset, entries[offset])
        if late.complete:
            assert late == history[offset]
        else:
            assert late.version == 0


def test_name_with_a_path_is_an_error():
    change = FileChange('../a.ini', 0, TEAM.format(1))
    publication = Publication('b', 'op', 0, (change,), 0)
    assert isinstance(decode_entry(encode_entry(publication)), Err)


def test_unknown_entry_is_an_error():
    assert isinstance(decode_entry({'other': 1}), Err)


def follower(log, time, configured):
    follow_settings = FollowSettings('e1', restate_ms=1000)
    return ConfigFollower(
        log,
        HttpCaller(),
        Members(),
        follow_settings,
        time,
        configured.append,
    )


def test_accepted_version_survives_outage_and_expiry():
    log, time, seen = MemoryLog(), clock(), []
    followers = [follower(log, time, seen) for _ in range(2)]
    followers[1].settings = FollowSettings('e2', restate_ms=1000)
    publish(log, time, request({'a.ini': TEAM.format(4)})).unwrap()
    for node in followers:
        node.poll()
    assert [policy.version for policy in seen] == [1, 1]
    assert sum(node.snapshots for node in followers) == 1
    log.fail_reads = True
    followers[0].poll()
    log.fail_reads = False
    time.advance(1500)
    for node in followers:
        node.poll()
    assert sum(node.snapshots for node in followers) == 2
    log.first = 1
    fresh = follower(log, time, seen)
    fresh.poll()
    assert fresh.config.version == 1
    assert seen[-1].teams[0].share == 4


def test_domain_cut_from_the_log_fetches_a_higher_version_from_another():
    log, time, seen = MemoryLog(), clock(), []
    publish(log, time, request({'a.ini': TEAM.format(4)})).unwrap()
    source = follower(log, time, [])
    source.poll()
    offers = [source.config, VersionedConfig(9, (), 9, complete=False)]

    def offer(asked):
        return Response(200, {'config': to_json(offers[0])})

    server = WebServer(
        '127.0.0.1', 0, (route('GET', '/internal/config', offer),)
    )
    server.start()
    cut_log = MemoryLog()
    cut_log.fail_reads = True
    cut = follower(cut_log, time, seen)
    cut.members = Members({'far@7': {}}, {'far': server.address})
    cut.poll()
    assert [policy.version for policy in seen] == [1]
    offers.pop(0)
    cut.poll()
    offers[0] = VersionedConfig(0, (), 0)
    cut.poll()
    server.stop()
    assert cut.config == source.config
    assert len(seen) == 1


def test_higher_version_of_a_peer_triggers_a_read():
    cut = follower(MemoryLog(), clock(), [])
    cut.members = Members({'e2@1': {'config': 'x'}}, {})
    cut._check_peer_versions()
    assert not cut.wake.is_set()
    cut.members = Members({'e2@1': {'config': '3'}}, {})
    cut._check_peer_versions()
    assert cut.wake.is_set()


def test_nothing_is_in_force_while_history_is_missing():
    log, time, seen = MemoryLog(), clock(), []
    publish(log, time, request({'a.ini': TEAM.format(4)})).unwrap()
    publish(log, time, request({'b.ini': '[pool p]\n'}, (), 'x')).unwrap()
    log.first = 1
    follower(log, time, seen).poll()
    assert seen == []
