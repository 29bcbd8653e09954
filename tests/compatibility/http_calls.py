"""Calls of real processes by users, agents, controllers and operators, and the whole bytes that they answer."""

import json
import re
import socket
from pathlib import Path
from typing import Any

import cbor2

from compatibility import codecs
from virtual import job_spec
from virtual.loopback import ROOT, LoopWorld

USERS, PEERS = 0, 1
MISSING = "j-404"
BEAT = {
    "host": "vm-9", "addr": "h:1", "rig": "m", "yard": "a", "loaners": False, "tenure": 1, "tally": 1, "baton": 0,
    "pieces": [],
}  # fmt: skip
#: Tables in the status and in other answers, of which only the form of their values is frozen.
TABLES = {"machines", "jobs", "teams"}
#: Tables of what was counted so far, so that their keys differ from run to run.
COUNTED = {"answers", "unavailable", "percentiles_s"}
#: Metrics of the same kind.
COUNTED_METRICS = ("ramptide_answers_", "ramptide_quota_share_wait_quantile")


def body(value: Any) -> bytes:
    return json.dumps(value).encode()


def calls_of_users() -> list[tuple[str, str, bytes]]:
    spec = job_spec("j-1", pieces=2, shape="service")
    found = [
        ("POST", "/v2/runs", body(spec)),
        ("POST", "/v2/runs", b"{"),
        ("POST", "/v2/runs", b"[]"),
        ("POST", "/v2/runs", body({name: value for name, value in spec.items() if name != "loaners"})),
        ("POST", "/v2/runs", body(spec | {"ref": "x"})),
        ("POST", "/v2/runs", body(spec | {"ref": "j-7", "owner": "nobody"})),
        ("POST", "/v2/runs", body(spec | {"ref": "j-7", "cores": 99.0})),
        ("POST", "/v2/runs", body(spec | {"ref": "j-7", "rigs": ["other"]})),
        ("POST", "/v2/runs", body(spec | {"ref": "j-7", "yard": "other"})),
        ("POST", "/v2/runs", body(spec | {"ref": "j-7", "oneZone": True, "spread": True})),
        ("POST", "/v2/runs", body(spec | {"ref": "j-7", "owner": "tight", "pieces": 3})),
        ("POST", "/v2/runs", body(spec | {"ref": "j-7", "owner": "tight", "shape": "batch", "cores": 5.0})),
        ("POST", "/v2/runs", b"x" * 70_000),
        ("POST", "/agent/beat", b"{"),
        ("POST", "/agent/beat", body({name: value for name, value in BEAT.items() if name != "tally"})),
        ("POST", "/agent/beat", body(BEAT | {"tally": 2**64})),
    ]
    for method, path in (
        ("GET", f"/v2/runs/{MISSING}"),
        ("GET", "/v2/runs/nonsense"),
        ("POST", f"/v2/runs/{MISSING}/cancel"),
        ("POST", "/v2/runs/nonsense/cancel"),
        ("POST", "/v2/runs/j-1/cancel"),
        ("POST", "/v2/runs/j-1/cancel"),
        ("GET", "/v2/runs/j-1"),
        ("DELETE", "/v2/runs/j-1"),
        ("GET", "/v2/runs"),
        ("GET", "/v2/runs/j-1/cancel"),
        ("GET", "/v2/runs/j-1/else"),
        ("GET", "/agent/beat"),
        ("POST", "/healthz"),
        ("GET", "/healthz"),
        ("HEAD", "/healthz"),
        ("GET", "/nowhere"),
    ):
        found.append((method, path, b""))
    return found


def calls_of_operators() -> list[tuple[str, str, bytes]]:
    return [
        ("GET", "/admin/settings", b""),
        ("PATCH", "/admin/settings", b"{"),
        ("PATCH", "/admin/settings", b"[1]"),
        ("PATCH", "/admin/settings", body({"nothing": 1})),
        ("PATCH", "/admin/settings", body({"cooldown": "1"})),
        ("PATCH", "/admin/settings", body({"cooldown": -1})),
        ("PATCH", "/admin/settings", body({"pool_size": 1.5})),
        ("PATCH", "/admin/settings", body({"cooldown": 30, "pool_size": 2})),
        ("DELETE", "/admin/settings", b""),
        ("POST", "/admin/status", b""),
        ("POST", "/metrics", b""),
        ("GET", "/admin/else", b""),
        ("GET", "/sync", b""),
        ("POST", "/sync", b"nonsense"),
        ("POST", "/sync", cbor2.dumps({"member": "c9", "inc": "a", "view": 1, "seq": 1, "lacks": False, "wire": 5})),
        ("POST", "/sync", cbor2.dumps({"member": "c1", "inc": "a", "view": 1, "seq": 1, "lacks": False, "wire": 4})),
    ]


def calls_about_limits() -> list[tuple[str, str, bytes]]:
    return [
        ("PATCH", "/admin/quota", b"{"),
        ("PATCH", "/admin/quota", b"[1]"),
        ("PATCH", "/admin/quota", body({"tight": {"cpu": 1}})),
        ("PATCH", "/admin/quota", body({"tight": {"cpus_max": 99}})),
        ("PATCH", "/admin/quota", body({"tight": {"cpus_max": 2}})),
        ("DELETE", "/admin/quota", b""),
    ]


def call(world: LoopWorld, listener: int, method: str, path: str, content: bytes) -> bytes:
    """The whole answer of the first controller, in bytes."""
    head = f"{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {len(content)}\r\n\r\n"
    with socket.create_connection(("127.0.0.1", world.ports["c0"][listener]), 5) as sock:
        sock.sendall(head.encode() + content)
        sock.setblocking(False)
        received, over = b"", [False]

        def read() -> bool:
            nonlocal received
            try:
                part = sock.recv(65536)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                part = b""
            received += part
            over[0] = part == b""
            return over[0]

        world.until(read, 10)
    return received


def answers(world: LoopWorld, listener: int, calls: list[tuple[str, str, bytes]]) -> list[dict[str, str]]:
    return [
        {
            "call": f"{method} {path}",
            "body": content[:400].decode("latin-1"),
            "answer": call(world, listener, method, path, content).decode("latin-1"),
        }
        for method, path, content in calls
    ]


def form(value: Any, table: bool = False) -> Any:
    """The names in an answer; a table has the form of its first row."""
    if isinstance(value, dict):
        if table:
            return {"*": form(next(iter(value.values())))} if value else {}
        return {name: None if name in COUNTED else form(one, name in TABLES) for name, one in value.items()}
    if isinstance(value, list):
        return [form(value[0])] if value and isinstance(value[0], dict) else []
    return None


def content_of(answer: bytes) -> Any:
    return json.loads(answer.partition(b"\r\n\r\n")[2])


def metric_names(answer: bytes) -> list[str]:
    """Names, types and texts of the metrics, and their labels."""
    told = answer.partition(b"\r\n\r\n")[2].decode()
    names = [line for line in told.splitlines() if line.startswith("#")]
    samples = [line.rpartition(" ")[0] for line in told.splitlines() if not line.startswith("#")]
    return names + [sample for sample in samples if not sample.startswith(COUNTED_METRICS)]


def of_a_cluster(folder: Path, parts: Path | None) -> dict[str, Any]:
    """Three controllers that can do all their work."""
    world = LoopWorld(folder, teams={"team": 0.0, "tight": 4.0}, parts=parts)
    world.log_level = "error"
    try:
        for name in world.controller_names:
            world.start(name)
        assert world.until(lambda: all(world.is_healthy(name) for name in world.controller_names), 30)
        world.job_specs["j-8"] = job_spec("j-8", pieces=1, shape="service")
        submission = body(world.job_specs["j-8"])
        assert world.until(lambda: world.status("c0", "POST", "/v2/runs", submission) in (200, 201), 20)
        assert world.until(lambda: len(world.invariants.running_tasks()) == 1, 30)
        assert world.until(lambda: content_of(call(world, PEERS, "GET", "/admin/status", b""))["machines"] != {}, 20)
        found: dict[str, Any] = {}
        if parts is None:
            found["users"] = answers(world, USERS, calls_of_users())
            found["operators"] = answers(world, PEERS, calls_of_operators())
        else:
            found["quota"] = form(content_of(call(world, PEERS, "GET", "/admin/quota", b"")))
            found["limits"] = answers(world, PEERS, calls_about_limits())
        found["status"] = form(content_of(call(world, PEERS, "GET", "/admin/status", b"")))
        found["metrics"] = metric_names(call(world, PEERS, "GET", "/metrics", b""))
        return found
    finally:
        world.close()


def without_state_service(folder: Path) -> list[dict[str, Any]]:
    """A controller that has just started and cannot reach the state service."""
    world = LoopWorld(folder)
    world.log_level = "error"
    world.store.is_down = True
    try:
        world.start("c0")
        assert world.until(lambda: world.status("c0", "GET", "/healthz") == 503, 20)
        world.until(lambda: False, 1)
        calls = [
            ("GET", "/healthz", b""),
            ("POST", "/v2/runs", body(job_spec("j-1"))),
            ("GET", "/v2/runs/j-1", b""),
            ("POST", "/v2/runs/j-1/cancel", b""),
            ("POST", "/agent/beat", body(BEAT)),
        ]
        status = content_of(call(world, PEERS, "GET", "/admin/status", b""))
        words = {name: status[name] for name in ("member", "state", "state_service", "lacks", "view", "machines")}
        return [*answers(world, USERS, calls), words]
    finally:
        world.close()


def everything(folder: Path) -> dict[str, Any]:
    return {
        "cluster": of_a_cluster(folder, None),
        "cluster with limits": of_a_cluster(folder, ROOT / "deploy" / "parts.toml"),
        "without the state service": without_state_service(folder),
        "deploy": {
            "service": sorted(
                re.findall(r"^[a-z]+(?= =)", (ROOT / "deploy" / "service.toml").read_text(), re.MULTILINE)
            ),
            "parts": codecs.load_parts(ROOT / "deploy" / "parts.toml"),
        },
    }
