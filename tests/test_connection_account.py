"""Count what one connection holds.

Guards against a connection that counts for more and more, for which others give way.
"""

from lycheerelay.platform._connection_account import ConnectionAccount

HEAD = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


def test_a_pipelining_connection_counts_for_all_it_ever_sent() -> None:
    """With always one request unanswered it counts for the newest ones only."""
    account = ConnectionAccount(0, 0)
    for _ in range(10_000):
        account.receive(HEAD, 0, is_kept=True)
        account.receive_head(HEAD, 1)
        if account.unanswered > 2:
            account.finish_answer(0)
    assert account.held_bytes < 4000
    account.finish_answer(0)
    account.finish_answer(0)
    assert account.held_bytes == 0


def test_an_unfinished_head_is_forgotten_with_an_answer() -> None:
    """The head that has begun stays counted."""
    account = ConnectionAccount(0, 0)
    account.receive(HEAD, 0, is_kept=True)
    account.receive_head(HEAD, 1)
    account.receive(HEAD[:10], 0, is_kept=True)
    account.receive_head(HEAD[:10], 0)
    account.finish_answer(0)
    assert account.held_bytes == 10
