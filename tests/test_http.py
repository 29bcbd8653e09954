"""The HTTP parser, server and client, and the order of events in the event loop.

The tests guard against these failures: a message is parsed differently because of how its data was split on the way;
deferrable sockets delay urgent events, or some of them are never handled; clients get no answer because idle
connections occupy the limit; an invalid address that an agent reports raises an exception in the caller.
"""

import selectors
import socket
from collections.abc import Callable
from datetime import timedelta
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptide.transport.event_loop import EventLoop
from ramptide.transport.http.client import Client
from ramptide.transport.http.messages import HttpError, Message, encode_request, encode_response
from ramptide.transport.http.parser import Parser
from ramptide.transport.http.server import Server
from ramptide.transport.runtime import Request

BODIES = st.binary(max_size=300)


def encode_chunked(body: bytes, chunk_sizes: list[int]) -> bytes:
    encoded, rest = b"", body
    for size in chunk_sizes:
        chunk, rest = rest[:size], rest[size:]
        if chunk:
            encoded += b"%x;note\r\n%s\r\n" % (len(chunk), chunk)
    if rest:
        encoded += b"%x\r\n%s\r\n" % (len(rest), rest)
    return encoded + b"0\r\nTrailer: x\r\n\r\n"


def parse_in_parts(parser: Parser, data: bytes, cuts: list[int]) -> list[Message]:
    messages = []
    offsets = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    for start, end in pairwise(offsets):
        parser.feed(data[start:end])
        while (message := parser.next_message()) is not None:
            messages.append(message)
    return messages


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(BODIES, min_size=1, max_size=3), st.lists(st.integers(1, 50)), st.lists(st.integers(0, 2000)))
def test_parser_yields_the_same_requests_however_the_data_is_split(
    bodies: list[bytes], chunk_sizes: list[int], cuts: list[int]
) -> None:
    data = b""
    for index, body in enumerate(bodies):
        if index % 2:
            data += b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + encode_chunked(body, chunk_sizes)
        else:
            data += encode_request("POST", "/x", "h", body, "application/json")
    assert [message.body for message in parse_in_parts(Parser(), data, cuts)] == bodies


@settings(derandomize=True, max_examples=100, deadline=None)
@given(BODIES, st.lists(st.integers(0, 500)))
def test_parser_yields_the_same_response_however_the_data_is_split(body: bytes, cuts: list[int]) -> None:
    data = encode_response(409, body, "application/json", {"Retry-After": "1"}, True)
    (message,) = parse_in_parts(Parser(is_response=True), b"HTTP/1.1 100 Continue\r\n\r\n" + data, cuts)
    assert (message.status, message.body, message.keep_alive) == (409, body, True)
    assert message.headers["retry-after"] == "1"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET /\r\n\r\n", 400),
        (b"GET / HTTP/3\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 5000, 431),
    ],
)
def test_broken_request_is_refused_with_its_status(data: bytes, status: int) -> None:
    parser = Parser()
    parser.feed(data)
    with pytest.raises(HttpError) as caught:
        parser.next_message()
    assert caught.value.status == status


def test_response_without_a_length_ends_with_the_connection() -> None:
    parser = Parser(is_response=True)
    parser.feed(b"HTTP/1.1 200 OK\r\n\r\npart")
    assert parser.next_message() is None
    parser.feed(b" and rest")
    assert parser.next_message() is None
    message = parser.end_stream()
    assert message is not None
    assert message.body == b"part and rest"


def test_urgent_events_go_first_and_each_deferrable_socket_gets_its_turn() -> None:
    loop = EventLoop()
    events: list[object] = []
    pairs = [socket.socketpair() for _ in range(41)]
    for number, (local, remote) in enumerate(pairs):
        remote.send(b"x")
        # The data is never read, so that the sockets stay ready.
        loop.watch(local, selectors.EVENT_READ, lambda mask, number=number: events.append(number), number < 40)
    loop.after(timedelta(0), lambda: events.append("timer"))
    loop.run_turn()
    assert events[:2] == [40, "timer"]
    assert 0 < len(events) - 2 < 40
    for _ in range(20):
        loop.run_turn()
    assert set(events) == {*range(41), "timer"}
    for local, remote in pairs:
        local.close()
        remote.close()


def send_requests(client_count: int, max_connections: int, requests_per_client: int) -> tuple[list[bytes], int]:
    """Return the answers to the clients, empty where there was none, and how many requests got none.

    The clients take turns to send their requests, each over its connection as long as the server keeps that open.
    """
    loop = EventLoop()
    server = Server(
        loop, "127.0.0.1:0", lambda exchange: exchange.respond(200, b"{}"), max_connections, timedelta(hours=1)
    )
    address = server.sock.getsockname()
    kept_connections: dict[int, socket.socket] = {}
    answers, unanswered_count = [], 0
    for request_number in range(requests_per_client * client_count):
        client = kept_connections.pop(request_number % client_count, None) or socket.create_connection(address, 5)
        client.setblocking(False)
        client.sendall(b"GET / HTTP/1.1\r\n\r\n")
        answer = None
        for _ in range(20):
            loop.after(timedelta(0), lambda: None)
            loop.run_turn()
            try:
                answer = client.recv(1000)
                break
            except BlockingIOError:
                continue
            except ConnectionError:
                break
        if not answer:
            unanswered_count += 1
            client.close()
        elif b"Connection: close" in answer:
            client.close()
        else:
            kept_connections[request_number % client_count] = client
        answers.append(answer or b"")
    assert len(server.connections) <= max_connections
    for client in kept_connections.values():
        client.close()
    server.sock.close()
    return answers, unanswered_count


def test_every_client_is_answered_when_there_are_more_clients_than_connections() -> None:
    answers, unanswered_count = send_requests(client_count=40, max_connections=16, requests_per_client=3)
    assert unanswered_count == 0
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
    assert sum(b"Connection: close" in answer for answer in answers) > 40, (
        "most connections are closed after their answer"
    )


def test_connections_are_kept_while_few_are_open() -> None:
    answers, unanswered_count = send_requests(client_count=10, max_connections=16, requests_per_client=3)
    assert unanswered_count == 0
    assert not any(b"Connection: close" in answer for answer in answers)


def test_clients_beyond_the_limit_are_cut_off_without_the_crowded_ratio(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("ramptide.transport.http.server.CROWDED_RATIO", 10.0)
    assert send_requests(client_count=40, max_connections=16, requests_per_client=3)[1] > 0


def test_new_connection_at_the_limit_replaces_the_one_unused_longest() -> None:
    loop = EventLoop()
    server = Server(loop, "127.0.0.1:0", lambda exchange: exchange.respond(200, b"{}"), 3, timedelta(hours=1))
    address = server.sock.getsockname()

    def turn_until(condition: Callable[[], bool]) -> None:
        loop.after(timedelta(seconds=5), loop.stop)
        for _ in range(200):
            if condition():
                return
            loop.run_turn()
        raise AssertionError("the condition did not become true")

    clients = []
    for count in (1, 2, 3):
        clients.append(socket.create_connection(address, 5))
        turn_until(lambda count=count: len(server.connections) == count)  # type: ignore[misc]
    first, second, third = server.connections
    clients[0].sendall(b"GET / HTTP/1.1\r\n\r\n")
    turn_until(lambda: list(server.connections) == [second, third, first])
    clients.append(socket.create_connection(address, 5))
    turn_until(lambda: not second.is_open)
    assert first.is_open
    assert third.is_open
    assert len(server.connections) == 3
    for client in clients:
        client.close()
    server.sock.close()


def test_call_to_an_invalid_address_gets_no_answer_and_raises_nothing() -> None:
    """Agents report their own addresses: an invalid one must not raise an exception in the code that calls it."""
    loop = EventLoop()
    answers: list[Message | None] = []
    client = Client(loop, 2)
    for address in ("vm-000002", "127.0.0.1:none", ""):
        client.call(Request(address, "GET", "/inspect", timedelta(seconds=1)), answers.append)
    loop.after(timedelta(milliseconds=300), loop.stop)
    loop.run()
    assert answers == [None, None, None]
    assert client.open_connections == 0
