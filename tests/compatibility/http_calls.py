"""HTTP requests to real controller processes by users, agents, controllers and operators, and the whole responses."""

import json
import re
import socket
from pathlib import Path
from typing import Any

import cbor2

from compatibility import codecs
from virtual import job_spec
from virtual.loopback import ROOT, LoopbackWorld

#: The indexes of a controller's ports in `LoopbackWorld.ports`: for users and agents, and for peers and operators.
CLIENT_PORT_INDEX, PEER_PORT_INDEX = 0, 1
UNKNOWN_JOB_ID = "j-404"
HEARTBEAT = {
    "host": "vm-9", "addr": "h:1", "rig": "m", "yard": "a", "loaners": False, "tenure": 1, "tally": 1, "baton": 0,
    "pieces": [],
}  # fmt: skip
#: The fields of responses that hold tables. Of a table only the field names of its first row are frozen.
TABLE_FIELDS = {"machines", "jobs", "teams"}
#: The fields that hold counts or percentiles of events so far; the keys of these tables differ from run to run.
COUNTER_FIELDS = {"answers", "unavailable", "percentiles_s"}
#: The prefixes of metrics with the same contents, whose labels therefore differ from run to run.
COUNTER_METRIC_PREFIXES = ("ramptide_answers_", "ramptide_quota_share_wait_quantile")


def json_body(value: Any) -> bytes:
    """Return the body of a request that carries a JSON value."""
    return json.dumps(value).encode()


def client_requests() -> list[tuple[str, str, bytes]]:
    """Return the method, path and body of each request of users and agents."""
    spec = job_spec("j-1", pieces=2, shape="service")
    requests = [
        ("POST", "/v2/runs", json_body(spec)),
        ("POST", "/v2/runs", b"{"),
        ("POST", "/v2/runs", b"[]"),
        ("POST", "/v2/runs", json_body({name: value for name, value in spec.items() if name != "loaners"})),
        ("POST", "/v2/runs", json_body(spec | {"ref": "x"})),
        ("POST", "/v2/runs", json_body(spec | {"ref": "j-7", "owner": "nobody"})),
        ("POST", "/v2/runs", json_body(spec | {"ref": "j-7", "cores": 99.0})),
        ("POST", "/v2/runs", json_body(spec | {"ref": "j-7", "rigs": ["other"]})),
        ("POST", "/v2/runs", json_body(spec | {"ref": "j-7", "yard": "other"})),
        ("POST", "/v2/runs", json_body(spec | {"ref": "j-7", "oneZone": True, "spread": True})),
        ("POST", "/v2/runs", json_body(spec | {"ref": "j-7", "owner": "tight", "pieces": 3})),
        ("POST", "/v2/runs", json_body(spec | {"ref": "j-7", "owner": "tight", "shape": "batch", "cores": 5.0})),
        ("POST", "/v2/runs", b"x" * 70_000),
        ("POST", "/agent/beat", b"{"),
        ("POST", "/agent/beat", json_body({name: value for name, value in HEARTBEAT.items() if name != "tally"})),
        ("POST", "/agent/beat", json_body(HEARTBEAT | {"tally": 2**64})),
    ]
    for method, path in (
        ("GET", f"/v2/runs/{UNKNOWN_JOB_ID}"),
        ("GET", "/v2/runs/nonsense"),
        ("POST", f"/v2/runs/{UNKNOWN_JOB_ID}/cancel"),
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
        requests.append((method, path, b""))
    return requests


def operator_and_peer_requests() -> list[tuple[str, str, bytes]]:
    """Return the requests of operators and of other controllers, except those about team limits."""
    return [
        ("GET", "/admin/settings", b""),
        ("PATCH", "/admin/settings", b"{"),
        ("PATCH", "/admin/settings", b"[1]"),
        ("PATCH", "/admin/settings", json_body({"nothing": 1})),
        ("PATCH", "/admin/settings", json_body({"cooldown": "1"})),
        ("PATCH", "/admin/settings", json_body({"cooldown": -1})),
        ("PATCH", "/admin/settings", json_body({"pool_size": 1.5})),
        ("PATCH", "/admin/settings", json_body({"cooldown": 30, "pool_size": 2})),
        ("DELETE", "/admin/settings", b""),
        ("POST", "/admin/status", b""),
        ("POST", "/metrics", b""),
        ("GET", "/admin/else", b""),
        ("GET", "/sync", b""),
        ("POST", "/sync", b"nonsense"),
        ("POST", "/sync", cbor2.dumps({"member": "c9", "inc": "a", "view": 1, "seq": 1, "lacks": False, "wire": 5})),
        ("POST", "/sync", cbor2.dumps({"member": "c1", "inc": "a", "view": 1, "seq": 1, "lacks": False, "wire": 4})),
    ]


def limit_requests() -> list[tuple[str, str, bytes]]:
    """Return the requests of operators about team limits."""
    return [
        ("PATCH", "/admin/quota", b"{"),
        ("PATCH", "/admin/quota", b"[1]"),
        ("PATCH", "/admin/quota", json_body({"tight": {"cpu": 1}})),
        ("PATCH", "/admin/quota", json_body({"tight": {"cpus_max": 99}})),
        ("PATCH", "/admin/quota", json_body({"tight": {"cpus_max": 2}})),
        ("DELETE", "/admin/quota", b""),
    ]


def send_request(world: LoopbackWorld, port_index: int, method: str, path: str, body: bytes) -> bytes:
    """Send a request to the controller c0, and return the whole response with its head."""
    head = f"{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    with socket.create_connection(("127.0.0.1", world.ports["c0"][port_index]), 5) as sock:
        sock.sendall(head.encode() + body)
        sock.setblocking(False)
        received, is_closed = b"", [False]

        def read() -> bool:
            nonlocal received
            try:
                chunk = sock.recv(65536)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                chunk = b""
            received += chunk
            is_closed[0] = chunk == b""
            return is_closed[0]

        world.serve_until(read, 10)
    return received


def response_cases(
    world: LoopbackWorld, port_index: int, requests: list[tuple[str, str, bytes]]
) -> list[dict[str, str]]:
    """Send requests one after the other, and return each with its response."""
    return [
        {
            "call": f"{method} {path}",
            "body": body[:400].decode("latin-1"),
            "answer": send_request(world, port_index, method, path, body).decode("latin-1"),
        }
        for method, path, body in requests
    ]


def field_tree(value: Any, is_table: bool = False) -> Any:
    """Return the names of the fields in a decoded response; only the first row of a table or list is included."""
    if isinstance(value, dict):
        if is_table:
            return {"*": field_tree(next(iter(value.values())))} if value else {}
        return {
            name: None if name in COUNTER_FIELDS else field_tree(field, name in TABLE_FIELDS)
            for name, field in value.items()
        }
    if isinstance(value, list):
        return [field_tree(value[0])] if value and isinstance(value[0], dict) else []
    return None


def decode_json_body(response: bytes) -> Any:
    """Return the JSON value in the body of a whole response."""
    return json.loads(response.partition(b"\r\n\r\n")[2])


def metric_names(response: bytes) -> list[str]:
    """Return the help and type lines of all metrics, then the names of the samples with their labels."""
    text = response.partition(b"\r\n\r\n")[2].decode()
    comment_lines = [line for line in text.splitlines() if line.startswith("#")]
    samples = [line.rpartition(" ")[0] for line in text.splitlines() if not line.startswith("#")]
    return comment_lines + [sample for sample in samples if not sample.startswith(COUNTER_METRIC_PREFIXES)]


def cluster_cases(folder: Path, features_path: Path | None) -> dict[str, Any]:
    """Return the responses of a healthy cluster of three controllers, with or without a features file."""
    world = LoopbackWorld(folder, teams={"team": 0.0, "tight": 4.0}, features_file=features_path)
    world.log_level = "error"
    try:
        for name in world.controller_names:
            world.start(name)
        assert world.serve_until(lambda: all(world.is_healthy(name) for name in world.controller_names), 30)
        world.job_specs["j-8"] = job_spec("j-8", pieces=1, shape="service")
        submission = json_body(world.job_specs["j-8"])
        assert world.serve_until(lambda: world.request_status("c0", "POST", "/v2/runs", submission) in (200, 201), 20)
        assert world.serve_until(lambda: len(world.invariants.running_tasks()) == 1, 30)
        assert world.serve_until(
            lambda: (
                decode_json_body(send_request(world, PEER_PORT_INDEX, "GET", "/admin/status", b""))["machines"] != {}
            ),
            20,
        )
        cases: dict[str, Any] = {}
        if features_path is None:
            cases["users"] = response_cases(world, CLIENT_PORT_INDEX, client_requests())
            cases["operators"] = response_cases(world, PEER_PORT_INDEX, operator_and_peer_requests())
        else:
            cases["quota"] = field_tree(
                decode_json_body(send_request(world, PEER_PORT_INDEX, "GET", "/admin/quota", b""))
            )
            cases["limits"] = response_cases(world, PEER_PORT_INDEX, limit_requests())
        cases["status"] = field_tree(
            decode_json_body(send_request(world, PEER_PORT_INDEX, "GET", "/admin/status", b""))
        )
        cases["metrics"] = metric_names(send_request(world, PEER_PORT_INDEX, "GET", "/metrics", b""))
        return cases
    finally:
        world.close()


def cases_without_key_value_store(folder: Path) -> list[dict[str, Any]]:
    """Return the responses of a controller that has just started and cannot reach the key-value store."""
    world = LoopbackWorld(folder)
    world.log_level = "error"
    world.store.is_down = True
    try:
        world.start("c0")
        assert world.serve_until(lambda: world.request_status("c0", "GET", "/healthz") == 503, 20)
        world.serve_until(lambda: False, 1)
        requests = [
            ("GET", "/healthz", b""),
            ("POST", "/v2/runs", json_body(job_spec("j-1"))),
            ("GET", "/v2/runs/j-1", b""),
            ("POST", "/v2/runs/j-1/cancel", b""),
            ("POST", "/agent/beat", json_body(HEARTBEAT)),
        ]
        status = decode_json_body(send_request(world, PEER_PORT_INDEX, "GET", "/admin/status", b""))
        fields = {name: status[name] for name in ("member", "state", "state_service", "lacks", "view", "machines")}
        return [*response_cases(world, CLIENT_PORT_INDEX, requests), fields]
    finally:
        world.close()


def http_cases(folder: Path) -> dict[str, Any]:
    """Return the content of `http.json`: all responses, and the fields of the files in `deploy`."""
    return {
        "cluster": cluster_cases(folder, None),
        "cluster with limits": cluster_cases(folder, ROOT / "deploy" / "parts.toml"),
        "without the state service": cases_without_key_value_store(folder),
        "deploy": {
            "service": sorted(
                re.findall(r"^[a-z]+(?= =)", (ROOT / "deploy" / "service.toml").read_text(), re.MULTILINE)
            ),
            "parts": codecs.load_features(ROOT / "deploy" / "parts.toml"),
        },
    }
