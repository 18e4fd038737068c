"""Check that the auditor reports each violation of the rules about tenants."""

import pytest

from lycheerelay._resources import Resources
from lycheerelay_standins.platform import (
    ObservedCall,
    ObservedRun,
    TenantAudit,
    TenantShape,
)

CORES = Resources(cores_milli=1000)


def shape(*keys: str, cores: int = 0) -> TenantShape:
    """Return a tenant with a quota in cores."""
    return TenantShape('a', keys, quota=Resources(cores * 1000))


def audit_of(*versions: tuple[int, TenantShape]) -> TenantAudit:
    """Return an auditor that saw these versions confirmed."""
    audit = TenantAudit([])
    for number, (confirmed_ms, tenant) in enumerate(versions):
        other = TenantShape('b', ('kb',))
        audit.confirm_version(number, confirmed_ms, (tenant, other))
    return audit


REVOKED = ((0, shape('old')), (10_000, shape('new')))


@pytest.mark.parametrize(
    ('key', 'sent_ms', 'answered_ms', 'rule'),
    [
        ('', 9000, 9000, 'ROUTE'),
        ('never', 9000, 9000, 'ROUTE'),
        ('kb', 9000, 9000, 'ROUTE'),
        ('new', 9000, 9999, 'ROUTE'),
        ('new', 9000, 10_000, ''),
        ('old', 15_000, 30_000, ''),
        ('old', 15_001, 15_002, 'CONFIG'),
    ],
)
def test_a_call_that_must_not_succeed_is_reported(
    key: str, sent_ms: int, answered_ms: int, rule: str
) -> None:
    """A success counts by when it was sent, with the keys of that time."""
    audit = audit_of(*REVOKED)
    audit.check_call(
        ObservedCall('vm', key, 'a', 200, sent_ms, answered_ms, False)
    )
    assert [line.partition(':')[0] for line in audit.broken] == [rule] * bool(
        rule
    )


@pytest.mark.parametrize(
    ('key', 'sent_ms', 'is_in_contact', 'is_broken'),
    [
        ('new', 13_000, True, False),
        ('new', 13_001, True, True),
        ('new', 13_001, False, False),
        ('old', 9000, True, True),
        ('old', 13_001, True, False),
    ],
)
def test_a_refusal_of_a_key_in_force_is_reported(
    key: str, sent_ms: int, is_in_contact: bool, is_broken: bool
) -> None:
    """A VM in contact with the store has `configApplyMs` to learn a key."""
    audit = audit_of(*REVOKED)
    audit.check_call(
        ObservedCall('vm', key, 'a', 401, sent_ms, sent_ms, is_in_contact)
    )
    assert bool(audit.broken) == is_broken


def start(audit: TenantAudit, now_ms: int) -> ObservedRun:
    """Let tenant `a` start a task of one core."""
    run = ObservedRun(f'{now_ms}', 1, 'w-1', now_ms)
    audit.check_start(run, 'a', CORES, now_ms)
    return run


def test_a_start_above_the_quota_is_reported() -> None:
    """The overage and the starting task are tolerated, and no more."""
    audit = audit_of((0, shape(cores=10)))
    runs = [start(audit, number) for number in range(12)]
    assert audit.broken == []
    runs[0].ended_ms = 50
    start(audit, 100)
    assert audit.broken == []
    start(audit, 101)
    assert [line.partition(':')[0] for line in audit.broken] == ['QUOTA']


def test_the_highest_quota_counts_while_a_lower_one_is_being_applied() -> None:
    """A start above a lowered quota is reported once it must be in force."""
    audit = audit_of((0, shape(cores=10)), (10_000, shape(cores=1)))
    for now_ms in (9000, 9001, 13_000):
        start(audit, now_ms)
    assert audit.broken == []
    start(audit, 13_001)
    assert len(audit.broken) == 1


def test_an_amount_of_zero_is_no_limit() -> None:
    """A quota without an amount for a resource is not taken for zero."""
    audit = audit_of((0, shape()))
    for now_ms in range(50):
        start(audit, now_ms)
    assert audit.broken == []
