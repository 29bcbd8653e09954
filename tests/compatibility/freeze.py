"""Writes the frozen files from the present sources: `PYTHONHASHSEED=0 python3 -m compatibility.freeze`, in `tests`.

The files say what users, agents, the cloud, the state service, operators and controllers of another build see. They
are written again only when an interface changes on purpose, with the page that describes it. Today nothing of that kind
is allowed: a test of this folder that fails shows a fault of the sources, never of the frozen files. To add a case,
add it here, write the files again, and see that no other line of them has changed.
"""

import json
import os
import sys
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import cbor2

from compatibility import codecs, command_lines, frozen, http_calls, traffic

Case = dict[str, Any]
Value = Any


def text(value: Value) -> str:
    """JSON as the service writes it."""
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False)


def outcome(codec: codecs.Codec, body: bytes) -> Case:
    """What comes of a message or record: what it is written as, or the error."""
    try:
        read = codec(body)
    except codecs.REFUSED as error:
        return {"error": str(error)}
    return {"read": read.decode()}


def without(value: dict[str, Value], *names: str) -> dict[str, Value]:
    return {name: one for name, one in value.items() if name not in names}


# Records of the state service.

RUN = {
    "ref": "j-000412", "jobclass": "train", "owner": "vision", "shape": "batch", "rank": "high", "pieces": 16,
    "cores": 8.0, "cards": 1.0, "ramGb": 64.0, "bundle": "img-07", "imageGb": 6.2, "oneZone": True, "spread": False,
    "loaners": True, "guessS": 240.0, "markEveryS": 30.0, "markCostS": 4.0, "rigs": ["g8", "m"], "yard": "a",
    "dueS": 900.0,
}  # fmt: skip
JOB = {"run": RUN, "home": "rig-2", "born": 3, "at": 1767225600.5, "done": [3, "BQ=="], "hand": [3, "rig-1", 412]}
RENTAL = {
    "flavor": "g8", "yard": "a", "spot": True, "at": 1767225600.25, "count": 3, "born": 4,
    "hosts": {"vm-000231": [True, None], "vm-000232": [False, None], "vm-000233": [True, "idle"]},
}  # fmt: skip
FLAVOR = {
    "name": "g8", "cores": 96.0, "ramGb": 768.0, "yards": ["a", "b"], "cards": 8.0, "cacheGb": 200.0,
    "fetchGbPerS": 1.5, "rate": 12.0, "spotPrice": 4.5, "bootS": 45.0,
}  # fmt: skip
LIMIT = {"cpus": 4.0, "cpus_max": 8.0, "gpus": 1.0, "gpus_max": 2.0}
VIEW = {"number": 7, "leader": "rig-1", "members": {"rig-0": "ab12", "rig-1": "cd34.1"}, "lingering": {"rig-2": "ef"}}


def records() -> Iterator[tuple[str, str, Value]]:
    yield "job", "whole", JOB
    yield "job", "new", JOB | {"done": [0, ""], "hand": None}
    yield (
        "job",
        "service without bounds",
        JOB | {"run": RUN | {"shape": "service", "rank": "production", "rigs": None, "yard": None, "dueS": None}},
    )
    yield "job", "written before handovers within a view", without(JOB, "hand")
    yield "job", "null fields left out", JOB | {"run": without(RUN, "rigs", "yard", "dueS")}
    yield "job", "whole numbers where decimals are due", JOB | {"at": 1767225600, "run": RUN | {"cores": 8, "dueS": 9}}
    yield "job", "fields of a later version", JOB | {"later": 1, "run": RUN | {"later": [1]}}
    for name in ("run", "home", "born", "at", "done"):
        yield "job", f"without {name}", without(JOB, name)
    for name in RUN:
        yield "job", f"without {name} of the job", JOB | {"run": without(RUN, name)}
    for done in ([0], [0, "?"], [-1, ""], [100_001, ""], ["0", ""], None):
        yield "job", f"done tasks {done}", JOB | {"done": done}
    for hand in ([3, "rig-1"], {"view": 3}, [3, 1, 412]):
        yield "job", f"handover {hand}", JOB | {"hand": hand}
    for status in ("done", "withdrawn"):
        yield "ended", status, {"status": status, "pieces": 16, "done": 16}
    for name in ("status", "pieces", "done"):
        yield "ended", f"without {name}", without({"status": "done", "pieces": 16, "done": 16}, name)
    yield "rental", "answered", RENTAL
    yield "rental", "before the cloud is called", RENTAL | {"hosts": None}
    yield "rental", "with short rows of machines", RENTAL | {"hosts": {"vm-1": [], "vm-2": [True]}}
    for name in RENTAL:
        yield "rental", f"without {name}", without(RENTAL, name)
    yield "flavors", "whole", [FLAVOR, FLAVOR | {"name": "m", "cards": 0.0}]
    for name in FLAVOR:
        yield "flavors", f"without {name}", [without(FLAVOR, name)]
    yield "settings", "none", {}
    yield "settings", "some", {"cooldown": 30.0, "pool_size": 2}
    yield "settings", "unknown and out of bounds", {"cooldown": -1, "of_a_later_version": 1, "step": "x", "hold": 0}
    yield "settings", "not an object", [1]
    yield "limit", "in force", {"version": 1, "in_force": LIMIT}
    yield "limit", "pending", {"version": 1, "in_force": LIMIT, "pending": {"cpus_max": 4.0}}
    yield "limit", "removal pending", {"version": 1, "pending": {"removed": True}}
    yield "limit", "defaults written", {"version": 1, "in_force": LIMIT | {"removed": False}, "pending": None}
    yield "limit", "another version", {"version": 2, "in_force": LIMIT}
    yield "limit", "no version", {"in_force": LIMIT}
    yield "limit", "unknown field", {"version": 1, "in_force": LIMIT | {"later": 1}}
    yield "limit", "negative", {"version": 1, "in_force": LIMIT | {"cpus": -1.0}}
    yield "view", "whole", VIEW
    yield "view", "without lingering", without(VIEW, "lingering")
    for name in ("number", "leader", "members"):
        yield "view", f"without {name}", without(VIEW, name)


def freeze_records() -> None:
    cases = []
    for kind, form, value in records():
        stored = text(value)
        cases.append({"kind": kind, "form": form, "stored": stored} | outcome(codecs.RECORDS[kind], stored.encode()))
    frozen.write_text("records.jsonl", frozen.to_lines(cases))
    frozen.write_text("record_keys.json", text(codecs.record_keys("hall/node ü")) + "\n")
    meaning = {
        "done": codecs.done_tasks(text(JOB).encode()),
        "machines": codecs.machines_of_rental("r-7", text(RENTAL).encode()),
    }
    frozen.write_text("record_meaning.json", text(meaning) + "\n")
    world, _ = traffic.record("rough_day")
    stored_state = {key: [entry.value, entry.mod_revision] for key, entry in world.store.entries.items()}
    frozen.write_text("stored_state.json", json.dumps(stored_state, indent=1) + "\n")


# Messages of PROTOCOL and the settings file.

TASKS = [
    {"piece": "j-000412/3", "try": 2, "status": "running"},
    {"piece": "j-000398/0", "try": 1, "status": "ended", "cause": "done"},
    {"piece": "j-000399/1", "try": 1, "status": "ended", "cause": "halted", "kept": True},
    {"piece": "j-000400/2", "try": 1, "status": "fetching", "cause": None, "kept": None},
]
HEARTBEAT = {
    "host": "vm-000231", "addr": "10.1.0.232:9000", "rig": "g8", "yard": "a", "loaners": True, "tenure": 1,
    "tally": 88, "baton": 41, "warningS": 12.5, "pieces": TASKS,
}  # fmt: skip
RENTED = {
    "ref": "vm-000231", "addr": "10.1.0.232:9000", "rig": "g8", "yard": "a", "loaners": True, "status": "running",
    "ageS": 61.5,
}  # fmt: skip
ROW = {"path": "a/b", "v": {"x": 1}, "stamp": 412, "tenancy": 7}
PUT, DROP = {"put": "c/9", "v": {"x": 1}, "stamp": 433}, {"drop": "c/d", "stamp": 432}
SETTINGS: dict[str, Any] = {
    "member": "c0", "area": "a", "client_listen": "127.0.0.1:1", "peer_bind": "127.0.0.1:2",
    "siblings": [{"member": "c1", "area": "b", "addr": "127.0.0.1:5"}],
    "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
    "cluster": {
        "nodes": 2, "teams": [{"name": "vision", "cpus": 4.0, "cpus_max": 8.0, "gpus": 1.0, "gpus_max": 2.0}],
        "objectives": [{"kind": "wait", "class": "train"}],
        "workers": {"report_s": 1.0, "lease_s": 5.0, "cancel_s": 20.0},
        "state": {"rps": 10.0, "write_rps": 5.0, "value_kb": 4.0, "txn_ops": 12},
        "cloud": {"rps": 5.0, "list_lag_s": 1.0}, "quota": {"fd_limit": 100, "cpu": 1.0, "ram_mb": 100.0},
    },
}  # fmt: skip


def damaged(value: dict[str, Value]) -> Iterator[tuple[str, Value]]:
    """A message without each of its fields, with null and with a wrong value there, and with one more."""
    for name in value:
        yield f"without {name}", without(value, name)
        yield f"{name} null", value | {name: None}
        yield f"{name} wrong", value | {name: {"wrong": -1}}
    yield "a field that is not known", value | {"else": [1]}


def incoming() -> Iterator[tuple[str, str, str]]:
    objects: dict[str, dict[str, Value]] = {
        "submission": RUN,
        "heartbeat": HEARTBEAT,
        "flavors": {"rigs": [FLAVOR]},
        "rentals": {"hosts": [RENTED], "more": False},
        "hosts": {"hosts": ["vm-000231", "vm-000232"]},
        "row": ROW,
        "rows": {"rows": [ROW], "more": True, "epoch": 431},
        "changes": {"epoch": 433, "news": [PUT, DROP]},
        "committed": {"epoch": 432},
        "failed": {"failed": ["a/b"], "epoch": 431},
        "grant": {"tenancy": 7},
        "settings": SETTINGS,
    }
    for kind, value in objects.items():
        yield kind, "whole", text(value)
        for form, one in damaged(value):
            yield kind, form, text(one)
        for body in ("", "{", "null", "[]", "7"):
            yield kind, f"body {body!r}", body
    yield from nested()
    for name, value in (("pieces", 0), ("pieces", 100_001), ("cores", -1), ("rank", "urgent"), ("shape", "gang")):
        yield "submission", f"{name} {value}", text(RUN | {name: value})
    for name, value in (("ref", "j-1/2"), ("ref", "x-1"), ("rigs", []), ("loaners", 1), ("bundle", "")):
        yield "submission", f"{name} {value!r}", text(RUN | {name: value})
    for name in ("tenure", "tally", "baton"):
        yield "heartbeat", f"{name} of 2^64", text(HEARTBEAT | {name: 2**64})
        yield "heartbeat", f"{name} just below", text(HEARTBEAT | {name: 2**64 - 1})
    yield "heartbeat", "a name with a space", text(HEARTBEAT | {"host": "a b"})
    for body in ("j-000412/3", "j-000412", "j-1/-1", "j-1/100000", "x-1/1", "j-1/1/1"):
        yield "task name", body, body


def nested() -> Iterator[tuple[str, str, str]]:
    cluster = SETTINGS["cluster"]
    inner: list[tuple[str, str, dict[str, Value], Callable[[Value], Value]]] = [
        ("heartbeat", "task", TASKS[2], lambda one: HEARTBEAT | {"pieces": [one]}),
        ("flavors", "type", FLAVOR, lambda one: {"rigs": [one]}),
        ("rentals", "machine", RENTED, lambda one: {"hosts": [one], "more": True}),
        ("rows", "row", ROW, lambda one: {"rows": [one], "more": True, "epoch": 431}),
        ("changes", "put", PUT, lambda one: {"epoch": 433, "news": [one]}),
        ("changes", "drop", DROP, lambda one: {"epoch": 433, "news": [one]}),
        ("settings", "cluster", cluster, lambda one: SETTINGS | {"cluster": one}),
        *(("settings", name, cluster[name], in_cluster(name)) for name in ("workers", "state", "cloud", "quota")),
        *(("settings", name, cluster[name][0], listed_in_cluster(name)) for name in ("teams", "objectives")),
        ("settings", "sibling", SETTINGS["siblings"][0], lambda one: SETTINGS | {"siblings": [one]}),
        ("settings", "outside", SETTINGS["outside"], lambda one: SETTINGS | {"outside": one}),
    ]
    for kind, name, value, message in inner:
        for form, one in damaged(value):
            yield kind, f"{name} {form}", text(message(one))


def in_cluster(name: str) -> Callable[[Value], Value]:
    return lambda one: SETTINGS | {"cluster": SETTINGS["cluster"] | {name: one}}


def listed_in_cluster(name: str) -> Callable[[Value], Value]:
    return lambda one: SETTINGS | {"cluster": SETTINGS["cluster"] | {name: [one]}}


def freeze_protocol() -> None:
    cases = []
    for kind, form, body in incoming():
        result = outcome(codecs.INCOMING[kind], body.encode())
        cases.append({"kind": kind, "form": form, "body": body} | result)
    frozen.write_text("incoming.jsonl", frozen.to_lines(cases))
    outgoing = {name: body.decode() for name, body in codecs.outgoing().items()}
    frozen.write_text("outgoing.json", json.dumps(outgoing, indent=1) + "\n")
    frozen.write_text("paths.json", json.dumps(codecs.paths(), indent=1) + "\n")


# Messages between controllers.

STATUS = [
    True, True, False, 0.5, 30.0, ["j-000412", "j-000413"], 2, 1.5, True, ["img-07"],
    [["j-000412", 3, 2, "running", None], ["j-000398", 0, 1, "ended", "done"]], "10.1.0.232:9000",
]  # fmt: skip
MESSAGE = {
    "member": "c1", "inc": "ab12.1", "view": 7, "seq": 412, "lacks": True, "epoch": 431, "wire": 5, "base": 400,
    "latched": True, "acks": {"c0": 399, "c2": 7},
    "wishes": {"vm-000231": [["j-000412", 3, 2, "run", 0.0], ["j-000398", 0, 1, "stop", 2.5]], "vm-000232": None},
    "status": {"vm-000231": STATUS, "vm-000233": None},
    "using": {"vision": [8.0, 1.0]}, "asking": {"vision": [16.0, 2.0]},
    "waiting": [["j-000412", 12, 3.5, ["vm-000231"]]], "limbo": {"j-000412": {"vision": [8.0, 1.0]}},
    "grants": {"vision": [64.0, float("inf")]}, "grants_ack": 398, "took": ["j-000412"], "pool": ["vm-000233"],
    "cancelled": ["j-000377"], "strangers": {"vm-000999": ["g8", "a", True]}, "unproven": {"vm-000234": 4.5},
    "evict": [["j-000412", 3, 2, 10.0]],
}  # fmt: skip
PARTIAL = {
    "member": "c1", "inc": "ab12.1", "view": 7, "seq": 412, "lacks": False, "epoch": 431, "wire": 5, "base": 400,
    "more": True, "wishes": MESSAGE["wishes"], "status": MESSAGE["status"],
}  # fmt: skip
ANSWER = {"inc": "ab12.1", "view": 7, "lacks": True, "newest": 8, "have": 412, "over": ["j-000377"]}
QUOTA = {
    "version": 1, "view": 7, "sender": "c1", "incarnation": "ab12.1", "receiver": "c0", "confirmed": 3,
    "transfers": [[4, "vision", 8000, 1000]], "short": {"vision": [[2000, 0, 12]]}, "claims": ["j-000412"],
    "waiting": {"vision": [[2000, 0, 30]]}, "accounts": [["c2", "vision", 8000, 0, 4000, 1000]],
}  # fmt: skip


def peer_messages() -> Iterator[tuple[str, str, Value]]:
    yield "message", "whole", MESSAGE
    yield "message", "with the quota part", MESSAGE | {"quota": QUOTA}
    yield "message", "partial", PARTIAL
    yield "message", "from outside the view", {"member": "c1", "inc": "ab12", "view": 0, "seq": 0, "lacks": False}
    yield "message", "defaults written", MESSAGE | {"more": False, "quota": None}
    yield "message", "another version", MESSAGE | {"wire": 4}
    yield "message", "status without an address", PARTIAL | {"status": {"vm-000231": STATUS[:-1]}}
    yield "message", "status that is too short", PARTIAL | {"status": {"vm-000231": STATUS[:-2]}}
    yield "message", "status of a later version", PARTIAL | {"status": {"vm-000231": [*STATUS, "later"]}}
    for phase in ("queued", "sent", "fetching", "running", "flushing", "ended", "refused", "gone", "STOPPED"):
        tasks = [["j-000412", 3, 2, phase, None]]
        yield "message", f"task {phase}", PARTIAL | {"status": {"vm-000231": [*STATUS[:10], tasks]}}
    for wish in ("run", "stop", "reap", "preempt"):
        yield "message", f"wish {wish}", PARTIAL | {"wishes": {"vm-000231": [["j-000412", 3, 2, wish, 0.0]]}}
    for form, one in damaged(MESSAGE):
        yield "message", form, one
    yield "answer", "whole", ANSWER
    yield "answer", "that can't tell", ANSWER | {"over": None}
    for form, one in damaged(ANSWER):
        yield "answer", form, one
    yield "quota", "whole", QUOTA
    yield "quota", "short", {name: QUOTA[name] for name in ("version", "view", "sender", "incarnation", "receiver")}
    yield "quota", "another version", QUOTA | {"version": 2}
    for form, one in damaged(QUOTA):
        yield "quota", form, one
    for kind in codecs.PEERS:
        for value in (None, [], "text"):
            yield kind, f"value {value!r}", value


def freeze_peers() -> None:
    cases = []
    for kind, form, value in peer_messages():
        body = cbor2.dumps(value)
        case = {"kind": kind, "form": form, "body": body.hex()}
        try:
            case["read"] = codecs.PEERS[kind](body).hex()
        except codecs.REFUSED as error:
            case["error"] = str(error)
        cases.append(case)
    frozen.write_text("peers.jsonl", frozen.to_lines(cases))
    frozen.write_text("versions.json", text(codecs.peer_versions()) + "\n")


def freeze_traffic() -> None:
    for scenario in traffic.SCENARIOS:
        frozen.write_text(f"traffic/{scenario}.jsonl", frozen.to_lines(frozen.play(scenario)))


def freeze_operators() -> None:
    frozen.write_text("settings.json", json.dumps(codecs.setting_bounds(), indent=1) + "\n")
    with tempfile.TemporaryDirectory() as folder:
        results = [command_lines.result(case, Path(folder)) for case in command_lines.CASES]
    frozen.write_text("command_line.jsonl", frozen.to_lines(results))
    frozen.write_text("help.json", json.dumps(command_lines.all_flags(), indent=1) + "\n")
    files = []
    with tempfile.TemporaryDirectory() as folder:
        for kind, content in command_lines.FILES:
            files.append(command_lines.read_file(kind, content, Path(folder)))
    frozen.write_text("files.jsonl", frozen.to_lines(files))
    limits = [command_lines.limit_change(*case) for case in command_lines.LIMIT_CHANGES]
    frozen.write_text("limit_changes.jsonl", frozen.to_lines(limits))


def freeze_http() -> None:
    with tempfile.TemporaryDirectory() as folder:
        frozen.write_text("http.json", json.dumps(http_calls.everything(Path(folder)), indent=1) + "\n")


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != "0":
        sys.exit("PYTHONHASHSEED=0 is needed, as in CI")
    freeze_records()
    freeze_protocol()
    freeze_peers()
    freeze_traffic()
    freeze_operators()
    freeze_http()
