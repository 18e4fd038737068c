"""Claim pools as the live members and the owner in the log change."""

from lycheerelay._clock import ManualClock
from lycheerelay._hashing import owner_of
from lycheerelay._ownership import STABLE_MS, Ownership
from lycheerelay._state import ShardState

NAMES = ('e1', 'e2', 'e3')
CHOSEN = owner_of('a/desk', NAMES)
OTHER = next(name for name in NAMES if name != CHOSEN)


class FakeMembers:
    def __init__(self, name):
        self.identity = f'{name}@7'
        self.alive = set(NAMES)
        self.converged = True

    def alive_in_domain(self):
        return tuple(sorted(self.alive))

    def is_alive(self, identity):
        name, _, incarnation = identity.partition('@')
        return name in self.alive and incarnation == '7'

    def has_converged(self):
        return self.converged


class Rig:
    def __init__(self, name=CHOSEN):
        self.clock = ManualClock(1_000_000)
        self.members = FakeMembers(name)
        self.claims = []
        self.ownership = Ownership(
            self.members,
            self.clock,
            self.claims.append,
        )
        self.state = ShardState('a', 'desk', self.members.identity)

    def review(self, after_ms=0):
        self.clock.advance(after_ms)
        self.ownership.claim_if_due(self.state)
        return len(self.claims)

    def take(self, owner):
        self.state.term += 1
        self.state.owner = owner


def test_pool_without_an_owner_is_claimed_once_members_converged():
    rig = Rig()
    rig.members.converged = False
    assert rig.review() == 0
    rig.members.converged = True
    assert rig.review() == 1
    assert rig.review(100) == 1
    assert rig.claims[0].term == 1
    assert rig.claims[0].owner == f'{CHOSEN}@7'
    assert rig.review(2000) == 2


def test_pool_preferred_elsewhere_is_not_claimed():
    assert Rig(OTHER).review() == 0


def test_live_owner_is_replaced_only_after_a_stable_time():
    rig = Rig()
    rig.take(f'{OTHER}@7')
    assert rig.review() == 0
    assert rig.review(STABLE_MS - 1) == 0
    rig.members.alive.discard(CHOSEN)
    rig.members.alive.add(CHOSEN)
    assert rig.review(1) == 1


def test_stable_time_starts_again_after_an_interruption():
    rig = Rig()
    rig.take(f'{OTHER}@7')
    rig.review()
    rig.members.converged = False
    rig.review(STABLE_MS)
    rig.members.converged = True
    assert rig.review(1) == 0


def test_dead_owner_is_replaced_at_once():
    rig = Rig()
    rig.take(f'{OTHER}@7')
    rig.members.alive.discard(OTHER)
    assert rig.review() == 1


def test_earlier_run_of_this_or_another_node_is_replaced_at_once():
    for name in (OTHER, CHOSEN):
        rig = Rig()
        rig.take(f'{name}@6')
        assert not rig.state.is_owner
        assert rig.review() == 1


def test_nodes_cut_from_each_other_do_not_alternate_as_owner():
    rig = Rig()
    rig.members.alive = {CHOSEN}
    changes = 0
    for _ in range(600):
        before = len(rig.claims)
        if rig.review(100) > before:
            rig.take(rig.members.identity)
            rig.review()
            rig.take(f'{OTHER}@7')
            changes += 1
    assert 2 <= changes <= 8
