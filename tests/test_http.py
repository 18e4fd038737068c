"""Test the traffic counters and the reply limit of HTTP calls."""

from lycheerelay import _http
from lycheerelay._http import HttpCaller
from lycheerelay._web import Response, WebServer, route


def test_calls_are_counted_by_purpose_including_headers():
    echo = route('POST', '/echo', lambda request: Response(200, request.body))
    server = WebServer('127.0.0.1', 0, (echo,), 4)
    server.start()
    caller = HttpCaller()
    url = f'http://{server.address}/echo'
    caller.with_purpose('renewal').call('POST', url, {'n': 'x' * 100}).unwrap()
    caller.call('POST', url, {}).unwrap()
    sums = caller.traffic.snapshot()
    assert [(name, entry.calls) for name, entry in sums.items()] == [
        ('other', 1),
        ('renewal', 1),
    ]
    more = sums['renewal'].sent_bytes - sums['other'].sent_bytes
    assert more == len('"n":"') + 100 + len('"')
    assert sums['renewal'].received_bytes > 100 + len('"n":""{}')
    assert caller.sent_bytes == sum(entry.sent_bytes for entry in sums.values())
    caller.close()
    server.stop()


def test_reply_over_the_limit_is_an_error(monkeypatch):
    monkeypatch.setattr(_http, 'MAX_REPLY_BYTES', 64)
    large = route('GET', '/large', lambda request: Response(200, 'x' * 65))
    server = WebServer('127.0.0.1', 0, (large,), 4)
    server.start()
    caller = HttpCaller()
    reply = caller.call('GET', f'http://{server.address}/large')
    assert reply.unwrap_err().reason == 'over 64 bytes'
    caller.close()
    server.stop()
