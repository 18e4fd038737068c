"""Run the fuzzer with fixed seeds on the emulated platform."""

import logging

import pytest

from lycheerelay_standins.platform import fuzz

# Seeds that failed in the past, each with the cause.
REGRESSIONS = {
    3: 'a former owner whose lock record had expired kept the ownership',
    21: 'a poll that waited for a record looped after its owner was deposed',
    105: 'a fencing append that took effect late set the sequence numbers back',
}

# A run writes thousands of lines.
pytestmark = pytest.mark.usefixtures('disable_logging')


STORM = (
    'answers_broken',
    'config_storm',
    'applied_late',
    'kill',
    'revoke',
    'worker_cut',
)


@pytest.mark.parametrize('seed', range(1, 5))
def test_a_day_with_storms_of_configurations_keeps_every_promise(
    seed: int,
) -> None:
    """Answers are lost and owners change while configurations pour in."""
    result = fuzz(seed, STORM)
    assert result.jobs > 20
    assert result.broken == ()
    assert result.unfinished == ()


@pytest.mark.parametrize('seed', sorted({*range(1, 9), *REGRESSIONS}))
def test_a_random_day_keeps_every_promise(seed: int) -> None:
    """No guarantee is violated, and every accepted job becomes final."""
    result = fuzz(seed)
    assert result.jobs > 20
    assert result.broken == ()
    assert result.unfinished == ()


RESTARTS = ('restart', 'answers_broken', 'kill', 'revoke', 'store_down')


@pytest.mark.parametrize('seed', range(1, 7))
def test_a_day_with_restarted_workers_keeps_every_promise(seed: int) -> None:
    """Workers start again under their ids while owners change."""
    result = fuzz(seed, RESTARTS)
    assert result.jobs > 20
    assert result.broken == ()
    assert result.unfinished == ()


WITHOUT_CRASHES = ('unlisted', 'kill', 'revoke', 'store_down', 'worker_cut')


@pytest.mark.parametrize('seed', range(1, 7))
def test_no_crash_is_counted_on_a_day_without_crashes(
    seed: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Registrations expire and owners change, but every worker stays up."""
    with caplog.at_level(logging.INFO, 'lycheerelay.cell'):
        result = fuzz(seed, WITHOUT_CRASHES)
    assert result.jobs > 20
    assert result.broken == ()
    assert result.unfinished == ()
    assert 'crash_counted' not in caplog.messages


WIDE = ('wide', 'wide', 'store_refuses', 'store_lost', 'kill', 'revoke')


@pytest.mark.parametrize('seed', range(1, 7))
def test_a_day_with_large_records_keeps_every_promise(seed: int) -> None:
    """Wide jobs are recorded in parts over owners; the store refuses appends."""
    result = fuzz(seed, WIDE)
    assert result.jobs > 20
    assert result.broken == ()
    assert result.unfinished == ()


DEADLY = ('deadly', 'kill', 'revoke', 'restart', 'crash')


@pytest.mark.parametrize('seed', range(1, 7))
def test_a_day_with_tasks_that_crash_workers_keeps_every_promise(
    seed: int,
) -> None:
    """They are given up, and no other task is, while owners change."""
    result = fuzz(seed, DEADLY)
    assert result.jobs > 20
    assert result.broken == ()
    assert result.unfinished == ()


PILES = ('pile_ends', 'kill', 'worker_cut')


@pytest.mark.parametrize('seed', range(1, 3))
def test_a_day_with_piles_of_ends_keeps_every_promise(seed: int) -> None:
    """Workers have more ends than one answer holds while owners change."""
    result = fuzz(seed, PILES)
    assert 'pile_ends' in result.faults
    assert result.broken == ()
    assert result.unfinished == ()


GONE = ('leave', 'long_cut', 'kill', 'revoke')


@pytest.mark.parametrize('seed', range(1, 3))
def test_a_day_with_workers_that_are_forgotten_keeps_every_promise(
    seed: int,
) -> None:
    """Some leave for good, others are back after a long cut."""
    result = fuzz(seed, GONE)
    assert result.jobs > 20
    assert result.broken == ()
    assert result.unfinished == ()


ABANDONED = ('abandoned', 'abandoned', 'kill', 'kill_all', 'revoke')


@pytest.mark.parametrize('with_tenants', [False, True])
@pytest.mark.parametrize('seed', range(1, 5))
def test_a_day_with_abandoned_jobs_keeps_every_promise(
    seed: int, with_tenants: bool
) -> None:
    """Jobs are cancelled whose hand-in the store executes late."""
    result = fuzz(seed, ABANDONED, with_tenants)
    assert 'abandoned' in result.faults
    assert result.broken == ()
    assert result.unfinished == ()
