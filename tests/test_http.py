"""The parser against generated splits of its input; who makes room when all connections are in use."""

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


def chunked(body: bytes, sizes: list[int]) -> bytes:
    out, rest = b"", body
    for size in sizes:
        piece, rest = rest[:size], rest[size:]
        if piece:
            out += b"%x;note\r\n%s\r\n" % (len(piece), piece)
    if rest:
        out += b"%x\r\n%s\r\n" % (len(rest), rest)
    return out + b"0\r\nTrailer: x\r\n\r\n"


def parse(parser: Parser, data: bytes, cuts: list[int]) -> list[Message]:
    found = []
    edges = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    for start, end in pairwise(edges):
        parser.feed(data[start:end])
        while (message := parser.next_message()) is not None:
            found.append(message)
    return found


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(BODIES, min_size=1, max_size=3), st.lists(st.integers(1, 50)), st.lists(st.integers(0, 2000)))
def test_any_split_gives_the_same_messages(bodies: list[bytes], sizes: list[int], cuts: list[int]) -> None:
    data = b""
    for number, body in enumerate(bodies):
        if number % 2:
            data += b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, sizes)
        else:
            data += encode_request("POST", "/x", "h", body, "application/json")
    assert [m.body for m in parse(Parser(), data, cuts)] == bodies


@settings(derandomize=True, max_examples=100, deadline=None)
@given(BODIES, st.lists(st.integers(0, 500)))
def test_responses_split_anywhere(body: bytes, cuts: list[int]) -> None:
    data = encode_response(409, body, "application/json", {"Retry-After": "1"}, True)
    (message,) = parse(Parser(is_response=True), b"HTTP/1.1 100 Continue\r\n\r\n" + data, cuts)
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
def test_broken_requests_are_refused(data: bytes, status: int) -> None:
    parser = Parser()
    parser.feed(data)
    with pytest.raises(HttpError) as caught:
        parser.next_message()
    assert caught.value.status == status


def test_a_response_without_length_ends_with_the_connection() -> None:
    parser = Parser(is_response=True)
    parser.feed(b"HTTP/1.1 200 OK\r\n\r\npart")
    assert parser.next_message() is None
    parser.feed(b" and rest")
    assert parser.next_message() is None
    message = parser.end_stream()
    assert message is not None
    assert message.body == b"part and rest"


def test_what_is_urgent_goes_before_many_deferrable_sockets_of_which_each_has_its_turn() -> None:
    loop = EventLoop()
    handled: list[object] = []
    pairs = [socket.socketpair() for _ in range(41)]
    for number, (near, far) in enumerate(pairs):
        far.send(b"x")
        # Nothing is read, so that all stay ready for good.
        loop.watch(near, selectors.EVENT_READ, lambda mask, number=number: handled.append(number), number < 40)
    loop.after(timedelta(0), lambda: handled.append("timer"))
    loop.run_turn()
    assert handled[:2] == [40, "timer"]
    assert 0 < len(handled) - 2 < 40
    for _ in range(20):
        loop.run_turn()
    assert set(handled) == {*range(41), "timer"}
    for near, far in pairs:
        near.close()
        far.close()


def answers_to(clients: int, connections: int, rounds: int) -> tuple[list[bytes], int]:
    """Return the answers to so many clients, and how many connections were closed without one.

    The clients ask again and again, each over its connection as long as that is kept.
    """
    loop = EventLoop()
    server = Server(loop, "127.0.0.1:0", lambda exchange: exchange.respond(200, b"{}"), connections, timedelta(hours=1))
    address = server.sock.getsockname()
    kept: dict[int, socket.socket] = {}
    heads, cut_off = [], 0
    for turn in range(rounds * clients):
        client = kept.pop(turn % clients, None) or socket.create_connection(address, 5)
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
            cut_off += 1
            client.close()
        elif b"Connection: close" in answer:
            client.close()
        else:
            kept[turn % clients] = client
        heads.append(answer or b"")
    assert len(server.connections) <= connections
    for client in kept.values():
        client.close()
    server.sock.close()
    return heads, cut_off


def test_more_clients_than_connections_take_turns_and_none_is_cut_off() -> None:
    heads, cut_off = answers_to(clients=40, connections=16, rounds=3)
    assert cut_off == 0
    assert all(head.startswith(b"HTTP/1.1 200") for head in heads)
    assert sum(b"Connection: close" in head for head in heads) > 40, "most are asked to come back over a new one"


def test_while_there_is_room_connections_are_kept() -> None:
    heads, cut_off = answers_to(clients=10, connections=16, rounds=3)
    assert cut_off == 0
    assert not any(b"Connection: close" in head for head in heads)


def test_when_all_are_kept_clients_beyond_the_limit_are_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ramptide.transport.http.server.CROWDED_RATIO", 10.0)
    assert answers_to(clients=40, connections=16, rounds=3)[1] > 0


def test_over_the_cap_the_connection_that_is_quiet_longest_makes_room() -> None:
    loop = EventLoop()
    server = Server(loop, "127.0.0.1:0", lambda exchange: exchange.respond(200, b"{}"), 3, timedelta(hours=1))
    address = server.sock.getsockname()

    def until(condition: Callable[[], bool]) -> None:
        loop.after(timedelta(seconds=5), loop.stop)
        for _ in range(200):
            if condition():
                return
            loop.run_turn()
        raise AssertionError("it did not come to that")

    clients = []
    for count in (1, 2, 3):
        clients.append(socket.create_connection(address, 5))
        until(lambda count=count: len(server.connections) == count)  # type: ignore[misc]
    first, second, third = server.connections
    clients[0].sendall(b"GET / HTTP/1.1\r\n\r\n")
    until(lambda: list(server.connections) == [second, third, first])
    clients.append(socket.create_connection(address, 5))
    until(lambda: not second.is_open)
    assert first.is_open
    assert third.is_open
    assert len(server.connections) == 3
    for client in clients:
        client.close()
    server.sock.close()


def test_a_call_to_what_is_no_address_gets_no_answer_and_harms_nothing() -> None:
    """An agent tells its address itself: a broken one must not end what the call was part of."""
    loop = EventLoop()
    answers: list[Message | None] = []
    client = Client(loop, 2)
    for address in ("vm-000002", "127.0.0.1:none", ""):
        client.call(Request(address, "GET", "/inspect", timedelta(seconds=1)), answers.append)
    loop.after(timedelta(milliseconds=300), loop.stop)
    loop.run()
    assert answers == [None, None, None]
    assert client.open_connections == 0
