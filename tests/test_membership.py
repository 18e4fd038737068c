"""Run the membership of several nodes over a simulated network.

The network loses, delays and repeats datagrams, and nodes can be paused or
cut off. Guards against live nodes that count as dead and dead ones that
count as alive.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from lycheerelay._vm_client import EntryVm
from lycheerelay.membership import (
    Digest,
    Heartbeat,
    HeartbeatRelay,
    Membership,
    MembershipSettings,
    PeerState,
    Query,
    decode,
    encode,
)

TICK_MS = 100
FIXED = settings(derandomize=True, deadline=None, max_examples=40)


class Network:
    """Deliver datagrams between nodes late, repeatedly or not at all."""

    def __init__(self, names, seed=1, loss=0.0):
        self.random = random.Random(seed)
        self.loss = loss
        self.now_ms = 1_000_000
        self.queue = []
        self.cuts = set()
        self.paused = set()
        self.nodes = {name: self.make(name, names) for name in names}

    def make(self, name, names, incarnation=None):
        node = Membership(
            MembershipSettings(name, name[0]),
            incarnation or self.now_ms,
            self.random.randrange(1000),
            self.now_ms,
        )
        for other in names:
            node.add_seed(other, other[0], other)
        return node

    def send(self, source, due):
        for datagram in due:
            if (source, datagram.address) in self.cuts:
                continue
            for _ in range(1 + (self.random.random() < self.loss)):
                if self.random.random() >= self.loss:
                    at_ms = self.now_ms + self.random.randint(1, 30)
                    raw = encode(datagram.message)
                    entry = (at_ms, datagram.address, source, raw)
                    self.queue.append(entry)

    def run(self, for_ms):
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            self.deliver()
            for name, node in self.nodes.items():
                if name not in self.paused:
                    self.send(name, node.tick(self.now_ms))

    def deliver(self):
        due = [entry for entry in self.queue if entry[0] <= self.now_ms]
        self.queue = [entry for entry in self.queue if entry[0] > self.now_ms]
        for at_ms, target, source, raw in sorted(due):
            node = self.nodes.get(target)
            if node is not None and target not in self.paused:
                message = decode(raw).unwrap()
                self.send(target, node.receive(message, source, at_ms))

    def seen_by(self, name, domain='a'):
        return self.nodes[name].alive_in(domain, self.now_ms)


NAMES = ['a1', 'a2', 'a3', 'a4', 'a5']


@pytest.mark.parametrize('seed', range(5))
def test_no_node_counts_as_dead_in_a_lossy_network(seed):
    network = Network(NAMES, seed, loss=0.05)
    network.run(120_000)
    assert all(node.table.deaths == 0 for node in network.nodes.values())
    assert all(network.seen_by(name) == tuple(NAMES) for name in NAMES)


@pytest.mark.parametrize('seed', range(5))
def test_killed_node_is_dead_everywhere_within_three_seconds(seed):
    network = Network(NAMES, seed, loss=0.05)
    network.run(10_000)
    network.nodes.pop('a3')
    network.run(500)
    assert any('a3' in network.seen_by(name) for name in network.nodes)
    network.run(2500)
    for name in network.nodes:
        assert network.seen_by(name) == ('a1', 'a2', 'a4', 'a5')


def test_resumed_node_does_not_count_its_pause_against_peers():
    network = Network(NAMES)
    network.run(10_000)
    network.paused.add('a2')
    network.run(8000)
    assert 'a2' not in network.seen_by('a1')
    network.paused.clear()
    network.run(TICK_MS)
    assert network.seen_by('a2') == tuple(NAMES)
    network.run(1500)
    assert network.nodes['a2'].table.deaths == 0
    assert 'a2' in network.seen_by('a1')


def test_relayed_heartbeats_keep_an_unreachable_peer_alive():
    network = Network(NAMES)
    network.run(10_000)
    network.cuts.add(('a2', 'a1'))
    network.run(20_000)
    assert 'a2' in network.seen_by('a1')
    assert network.nodes['a1'].table.suspicions > 0
    network.nodes.pop('a2')
    network.run(5000)
    assert 'a2' not in network.seen_by('a1')


def test_nodes_are_alive_again_after_a_partition():
    network = Network(NAMES)
    network.run(5000)
    for name in NAMES[1:]:
        network.cuts.update({('a1', name), (name, 'a1')})
    network.run(60_000)
    assert network.seen_by('a1') == ('a1',)
    assert network.seen_by('a2') == tuple(NAMES[1:])
    network.cuts.clear()
    network.run(5000)
    assert all(network.seen_by(name) == tuple(NAMES) for name in NAMES)


def test_leaving_node_is_left_out_at_once():
    network = Network(NAMES)
    network.run(5000)
    network.send('a1', network.nodes['a1'].leave())
    network.run(TICK_MS)
    assert all('a1' not in network.seen_by(name) for name in NAMES)
    assert network.nodes['a2'].address_of('a1') == 'a1'


def test_replacement_with_a_clock_behind_is_alive_once_its_peer_is_dead():
    network = Network(NAMES)
    network.run(5000)
    network.nodes.pop('a1')
    network.run(5000)
    network.nodes['a1'] = network.make('a1', NAMES, incarnation=5)
    network.run(2000)
    assert 'a1' in network.seen_by('a2')


def test_domains_learn_their_members_by_digests():
    names = ['a1', 'a2', 'b1', 'b2']
    network = Network(names)
    network.nodes['b1'].publish('c', '12')
    network.run(20_000)
    assert network.seen_by('a1', 'b') == ('b1', 'b2')
    assert network.nodes['a2'].seen_values()['b1'] == {'c': '12'}
    network.nodes.pop('b2')
    network.run(20_000)
    assert network.seen_by('a1', 'b') == ('b1',)


def test_platform_list_adds_peers_and_drops_unresponsive_ones():
    network = Network(['a1'])
    node = network.nodes['a1']
    listed = [EntryVm('a2', 'a', 'r', 'a2'), EntryVm('b1', 'b', 'r', 'b1')]
    node.update_listed(listed, network.now_ms)
    assert (node.address_of('a2'), node.address_of('b1')) == ('a2', 'b1')
    assert node.alive_in('a', network.now_ms) == ('a1',)
    node.update_listed((), network.now_ms)
    assert node.address_of('a2') is None
    assert node.alive_in('b', network.now_ms) == ()


def test_values_are_bounded():
    node = Network(['a1']).nodes['a1']
    assert node.publish('c', '1')
    assert not node.publish('t', 'x' * 64)
    assert node.values == {'c': '1'}


@FIXED
@given(st.lists(st.tuples(st.integers(1, 30), st.integers(1, 3))))
def test_replayed_heartbeats_never_revive_a_dead_peer(replays):
    network = Network(['a1', 'a2'])
    network.run(20_000)
    node = network.nodes['a1']
    network.nodes.pop('a2')
    network.run(5000)
    incarnation = node.table.peers['a2'].incarnation
    for sequence, copies in replays:
        old = Heartbeat('a2', incarnation, sequence, 'a', 0, {})
        for _ in range(copies):
            node.receive(old, 'a2', network.now_ms)
    assert node.table.peers['a2'].state is PeerState.DEAD


@FIXED
@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected(raw):
    decode(raw)
    decode(b'["h",' + raw + b']')


NUMBERS = st.integers(0, 2**53)
TABLES = st.dictionaries(st.text(max_size=5), st.text(max_size=5), max_size=3)
MESSAGES = st.one_of(
    st.builds(
        Heartbeat, st.text(), NUMBERS, NUMBERS, st.text(), NUMBERS, TABLES
    ),
    st.builds(Query, st.text(), st.text()),
    st.builds(HeartbeatRelay, st.text(), st.text(), NUMBERS, NUMBERS),
    st.builds(Digest, st.text(), NUMBERS, NUMBERS, st.text(), TABLES, TABLES),
)


@FIXED
@given(MESSAGES)
def test_messages_survive_the_wire(message):
    assert decode(encode(message)) == Ok(message)
