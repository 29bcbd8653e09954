"""Writes the frozen files from the current sources.

Run `PYTHONHASHSEED=0 python3 -m compatibility.freeze` in `tests`, with the sources and the libraries on PYTHONPATH.

The frozen files (golden files) hold what users, agents, the cloud, the key-value store, operators and controllers of
other builds send and receive. They are written again only when an interface is changed on purpose, together with its
documentation. At present no such change is allowed: a failing test of this package shows a fault in the sources, never
in the frozen files. To add a case, add it here, write the files again, and check that none of their other lines has
changed.
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


def to_json(value: Value) -> str:
    """Encode a value as JSON in the form in which the service does."""
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False)


def codec_result(codec: codecs.Codec, body: bytes) -> Case:
    """Return what a message or record is encoded as after decoding, or the text of the error."""
    try:
        reencoded = codec(body)
    except codecs.REFUSAL_ERRORS as error:
        return {"error": str(error)}
    return {"read": reencoded.decode()}


def without_fields(value: dict[str, Value], *names: str) -> dict[str, Value]:
    """Return a copy of an object without the named fields."""
    return {name: field for name, field in value.items() if name not in names}


# Records in the key-value store.

JOB_SPEC = {
    "ref": "j-000412", "jobclass": "train", "owner": "vision", "shape": "batch", "rank": "high", "pieces": 16,
    "cores": 8.0, "cards": 1.0, "ramGb": 64.0, "bundle": "img-07", "imageGb": 6.2, "oneZone": True, "spread": False,
    "loaners": True, "guessS": 240.0, "markEveryS": 30.0, "markCostS": 4.0, "rigs": ["g8", "m"], "yard": "a",
    "dueS": 900.0,
}  # fmt: skip
JOB_RECORD = {
    "run": JOB_SPEC,
    "home": "rig-2",
    "born": 3,
    "at": 1767225600.5,
    "done": [3, "BQ=="],
    "hand": [3, "rig-1", 412],
}
RENTAL_RECORD = {
    "flavor": "g8", "yard": "a", "spot": True, "at": 1767225600.25, "count": 3, "born": 4,
    "hosts": {"vm-000231": [True, None], "vm-000232": [False, None], "vm-000233": [True, "idle"]},
}  # fmt: skip
MACHINE_TYPE = {
    "name": "g8", "cores": 96.0, "ramGb": 768.0, "yards": ["a", "b"], "cards": 8.0, "cacheGb": 200.0,
    "fetchGbPerS": 1.5, "rate": 12.0, "spotPrice": 4.5, "bootS": 45.0,
}  # fmt: skip
TEAM_LIMIT = {"cpus": 4.0, "cpus_max": 8.0, "gpus": 1.0, "gpus_max": 2.0}
VIEW_RECORD = {
    "number": 7,
    "leader": "rig-1",
    "members": {"rig-0": "ab12", "rig-1": "cd34.1"},
    "lingering": {"rig-2": "ef"},
}


def record_cases() -> Iterator[tuple[str, str, Value]]:
    """Yield the kind, the form and the stored value of each record."""
    yield "job", "whole", JOB_RECORD
    yield "job", "new", JOB_RECORD | {"done": [0, ""], "hand": None}
    yield (
        "job",
        "service without bounds",
        JOB_RECORD
        | {"run": JOB_SPEC | {"shape": "service", "rank": "production", "rigs": None, "yard": None, "dueS": None}},
    )
    yield "job", "written before handovers within a view", without_fields(JOB_RECORD, "hand")
    yield "job", "null fields left out", JOB_RECORD | {"run": without_fields(JOB_SPEC, "rigs", "yard", "dueS")}
    yield (
        "job",
        "whole numbers where decimals are due",
        JOB_RECORD | {"at": 1767225600, "run": JOB_SPEC | {"cores": 8, "dueS": 9}},
    )
    yield "job", "fields of a later version", JOB_RECORD | {"later": 1, "run": JOB_SPEC | {"later": [1]}}
    for name in ("run", "home", "born", "at", "done"):
        yield "job", f"without {name}", without_fields(JOB_RECORD, name)
    for name in JOB_SPEC:
        yield "job", f"without {name} of the job", JOB_RECORD | {"run": without_fields(JOB_SPEC, name)}
    for progress in ([0], [0, "?"], [-1, ""], [100_001, ""], ["0", ""], None):
        yield "job", f"done tasks {progress}", JOB_RECORD | {"done": progress}
    for handover in ([3, "rig-1"], {"view": 3}, [3, 1, 412]):
        yield "job", f"handover {handover}", JOB_RECORD | {"hand": handover}
    for status in ("done", "withdrawn"):
        yield "ended", status, {"status": status, "pieces": 16, "done": 16}
    for name in ("status", "pieces", "done"):
        yield "ended", f"without {name}", without_fields({"status": "done", "pieces": 16, "done": 16}, name)
    yield "rental", "answered", RENTAL_RECORD
    yield "rental", "before the cloud is called", RENTAL_RECORD | {"hosts": None}
    yield "rental", "with short rows of machines", RENTAL_RECORD | {"hosts": {"vm-1": [], "vm-2": [True]}}
    for name in RENTAL_RECORD:
        yield "rental", f"without {name}", without_fields(RENTAL_RECORD, name)
    yield "flavors", "whole", [MACHINE_TYPE, MACHINE_TYPE | {"name": "m", "cards": 0.0}]
    for name in MACHINE_TYPE:
        yield "flavors", f"without {name}", [without_fields(MACHINE_TYPE, name)]
    yield "settings", "none", {}
    yield "settings", "some", {"cooldown": 30.0, "pool_size": 2}
    yield "settings", "unknown and out of bounds", {"cooldown": -1, "of_a_later_version": 1, "step": "x", "hold": 0}
    yield "settings", "not an object", [1]
    yield "limit", "in force", {"version": 1, "in_force": TEAM_LIMIT}
    yield "limit", "pending", {"version": 1, "in_force": TEAM_LIMIT, "pending": {"cpus_max": 4.0}}
    yield "limit", "removal pending", {"version": 1, "pending": {"removed": True}}
    yield "limit", "defaults written", {"version": 1, "in_force": TEAM_LIMIT | {"removed": False}, "pending": None}
    yield "limit", "another version", {"version": 2, "in_force": TEAM_LIMIT}
    yield "limit", "no version", {"in_force": TEAM_LIMIT}
    yield "limit", "unknown field", {"version": 1, "in_force": TEAM_LIMIT | {"later": 1}}
    yield "limit", "negative", {"version": 1, "in_force": TEAM_LIMIT | {"cpus": -1.0}}
    yield "view", "whole", VIEW_RECORD
    yield "view", "without lingering", without_fields(VIEW_RECORD, "lingering")
    for name in ("number", "leader", "members"):
        yield "view", f"without {name}", without_fields(VIEW_RECORD, name)


def freeze_records() -> None:
    """Write the files of `test_records`; the stored state is what a scenario leaves in the key-value store."""
    cases = []
    for kind, form, value in record_cases():
        stored = to_json(value)
        cases.append(
            {"kind": kind, "form": form, "stored": stored} | codec_result(codecs.RECORD_CODECS[kind], stored.encode())
        )
    frozen.write_text("records.jsonl", frozen.to_lines(cases))
    frozen.write_text("record_keys.json", to_json(codecs.record_keys("hall/node ü")) + "\n")
    decoded_values = {
        "done": codecs.completed_tasks(to_json(JOB_RECORD).encode()),
        "machines": codecs.machines_of_rental("r-7", to_json(RENTAL_RECORD).encode()),
    }
    frozen.write_text("record_meaning.json", to_json(decoded_values) + "\n")
    world, _ = traffic.run_scenario("rough_day")
    stored_state = {key: [entry.value, entry.mod_revision] for key, entry in world.store.entries.items()}
    frozen.write_text("stored_state.json", json.dumps(stored_state, indent=1) + "\n")


# Messages of users, agents, the cloud and the key-value store, and the settings file.

TASK_REPORTS = [
    {"piece": "j-000412/3", "try": 2, "status": "running"},
    {"piece": "j-000398/0", "try": 1, "status": "ended", "cause": "done"},
    {"piece": "j-000399/1", "try": 1, "status": "ended", "cause": "halted", "kept": True},
    {"piece": "j-000400/2", "try": 1, "status": "fetching", "cause": None, "kept": None},
]
HEARTBEAT = {
    "host": "vm-000231", "addr": "10.1.0.232:9000", "rig": "g8", "yard": "a", "loaners": True, "tenure": 1,
    "tally": 88, "baton": 41, "warningS": 12.5, "pieces": TASK_REPORTS,
}  # fmt: skip
LISTED_MACHINE = {
    "ref": "vm-000231", "addr": "10.1.0.232:9000", "rig": "g8", "yard": "a", "loaners": True, "status": "running",
    "ageS": 61.5,
}  # fmt: skip
KEY_VALUE = {"path": "a/b", "v": {"x": 1}, "stamp": 412, "tenancy": 7}
PUT_EVENT, DELETE_EVENT = {"put": "c/9", "v": {"x": 1}, "stamp": 433}, {"drop": "c/d", "stamp": 432}
SETTINGS_FILE: dict[str, Any] = {
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


def field_variants(value: dict[str, Value]) -> Iterator[tuple[str, Value]]:
    """Yield variants of a message: without each field, with null or an object in its place, and with an unknown field.

    Some of the variants are valid: optional fields may be left out or null, and most types ignore unknown fields.
    """
    for name in value:
        yield f"without {name}", without_fields(value, name)
        yield f"{name} null", value | {name: None}
        yield f"{name} wrong", value | {name: {"wrong": -1}}
    yield "a field that is not known", value | {"else": [1]}


def incoming_cases() -> Iterator[tuple[str, str, str]]:
    """Yield the kind, the form and the body of each incoming message."""
    messages: dict[str, dict[str, Value]] = {
        "submission": JOB_SPEC,
        "heartbeat": HEARTBEAT,
        "flavors": {"rigs": [MACHINE_TYPE]},
        "rentals": {"hosts": [LISTED_MACHINE], "more": False},
        "hosts": {"hosts": ["vm-000231", "vm-000232"]},
        "row": KEY_VALUE,
        "rows": {"rows": [KEY_VALUE], "more": True, "epoch": 431},
        "changes": {"epoch": 433, "news": [PUT_EVENT, DELETE_EVENT]},
        "committed": {"epoch": 432},
        "failed": {"failed": ["a/b"], "epoch": 431},
        "grant": {"tenancy": 7},
        "settings": SETTINGS_FILE,
    }
    for kind, value in messages.items():
        yield kind, "whole", to_json(value)
        for form, variant in field_variants(value):
            yield kind, form, to_json(variant)
        for body in ("", "{", "null", "[]", "7"):
            yield kind, f"body {body!r}", body
    yield from nested_cases()
    for name, value in (("pieces", 0), ("pieces", 100_001), ("cores", -1), ("rank", "urgent"), ("shape", "gang")):
        yield "submission", f"{name} {value}", to_json(JOB_SPEC | {name: value})
    for name, value in (("ref", "j-1/2"), ("ref", "x-1"), ("rigs", []), ("loaners", 1), ("bundle", "")):
        yield "submission", f"{name} {value!r}", to_json(JOB_SPEC | {name: value})
    for name in ("tenure", "tally", "baton"):
        yield "heartbeat", f"{name} of 2^64", to_json(HEARTBEAT | {name: 2**64})
        yield "heartbeat", f"{name} just below", to_json(HEARTBEAT | {name: 2**64 - 1})
    yield "heartbeat", "a name with a space", to_json(HEARTBEAT | {"host": "a b"})
    for body in ("j-000412/3", "j-000412", "j-1/-1", "j-1/100000", "x-1/1", "j-1/1/1"):
        yield "task name", body, body


def nested_cases() -> Iterator[tuple[str, str, str]]:
    """Yield incoming messages with variants of the objects inside them."""
    cluster = SETTINGS_FILE["cluster"]
    nested: list[tuple[str, str, dict[str, Value], Callable[[Value], Value]]] = [
        ("heartbeat", "task", TASK_REPORTS[2], lambda value: HEARTBEAT | {"pieces": [value]}),
        ("flavors", "type", MACHINE_TYPE, lambda value: {"rigs": [value]}),
        ("rentals", "machine", LISTED_MACHINE, lambda value: {"hosts": [value], "more": True}),
        ("rows", "row", KEY_VALUE, lambda value: {"rows": [value], "more": True, "epoch": 431}),
        ("changes", "put", PUT_EVENT, lambda value: {"epoch": 433, "news": [value]}),
        ("changes", "drop", DELETE_EVENT, lambda value: {"epoch": 433, "news": [value]}),
        ("settings", "cluster", cluster, lambda value: SETTINGS_FILE | {"cluster": value}),
        *(
            ("settings", name, cluster[name], with_cluster_field(name))
            for name in ("workers", "state", "cloud", "quota")
        ),
        *(("settings", name, cluster[name][0], with_cluster_list(name)) for name in ("teams", "objectives")),
        ("settings", "sibling", SETTINGS_FILE["siblings"][0], lambda value: SETTINGS_FILE | {"siblings": [value]}),
        ("settings", "outside", SETTINGS_FILE["outside"], lambda value: SETTINGS_FILE | {"outside": value}),
    ]
    for kind, name, value, message_with in nested:
        for form, variant in field_variants(value):
            yield kind, f"{name} {form}", to_json(message_with(variant))


def with_cluster_field(name: str) -> Callable[[Value], Value]:
    """Return a function that builds the settings file with this value of a field of the cluster."""
    return lambda value: SETTINGS_FILE | {"cluster": SETTINGS_FILE["cluster"] | {name: value}}


def with_cluster_list(name: str) -> Callable[[Value], Value]:
    """Return a function that builds the settings file with this value as the only one in a list of the cluster."""
    return lambda value: SETTINGS_FILE | {"cluster": SETTINGS_FILE["cluster"] | {name: [value]}}


def freeze_protocol() -> None:
    """Write the files of `test_protocol`."""
    cases = []
    for kind, form, body in incoming_cases():
        result = codec_result(codecs.INCOMING_CODECS[kind], body.encode())
        cases.append({"kind": kind, "form": form, "body": body} | result)
    frozen.write_text("incoming.jsonl", frozen.to_lines(cases))
    outgoing = {name: body.decode() for name, body in codecs.outgoing_messages().items()}
    frozen.write_text("outgoing.json", json.dumps(outgoing, indent=1) + "\n")
    frozen.write_text("paths.json", json.dumps(codecs.request_paths(), indent=1) + "\n")


# Messages between controllers.

MACHINE_STATUS = [
    True, True, False, 0.5, 30.0, ["j-000412", "j-000413"], 2, 1.5, True, ["img-07"],
    [["j-000412", 3, 2, "running", None], ["j-000398", 0, 1, "ended", "done"]], "10.1.0.232:9000",
]  # fmt: skip
PEER_MESSAGE = {
    "member": "c1", "inc": "ab12.1", "view": 7, "seq": 412, "lacks": True, "epoch": 431, "wire": 5, "base": 400,
    "latched": True, "acks": {"c0": 399, "c2": 7},
    "wishes": {"vm-000231": [["j-000412", 3, 2, "run", 0.0], ["j-000398", 0, 1, "stop", 2.5]], "vm-000232": None},
    "status": {"vm-000231": MACHINE_STATUS, "vm-000233": None},
    "using": {"vision": [8.0, 1.0]}, "asking": {"vision": [16.0, 2.0]},
    "waiting": [["j-000412", 12, 3.5, ["vm-000231"]]], "limbo": {"j-000412": {"vision": [8.0, 1.0]}},
    "grants": {"vision": [64.0, float("inf")]}, "grants_ack": 398, "took": ["j-000412"], "pool": ["vm-000233"],
    "cancelled": ["j-000377"], "strangers": {"vm-000999": ["g8", "a", True]}, "unproven": {"vm-000234": 4.5},
    "evict": [["j-000412", 3, 2, 10.0]],
}  # fmt: skip
PARTIAL_PEER_MESSAGE = {
    "member": "c1", "inc": "ab12.1", "view": 7, "seq": 412, "lacks": False, "epoch": 431, "wire": 5, "base": 400,
    "more": True, "wishes": PEER_MESSAGE["wishes"], "status": PEER_MESSAGE["status"],
}  # fmt: skip
PEER_REPLY = {"inc": "ab12.1", "view": 7, "lacks": True, "newest": 8, "have": 412, "over": ["j-000377"]}
QUOTA_MESSAGE = {
    "version": 1, "view": 7, "sender": "c1", "incarnation": "ab12.1", "receiver": "c0", "confirmed": 3,
    "transfers": [[4, "vision", 8000, 1000]], "short": {"vision": [[2000, 0, 12]]}, "claims": ["j-000412"],
    "waiting": {"vision": [[2000, 0, 30]]}, "accounts": [["c2", "vision", 8000, 0, 4000, 1000]],
}  # fmt: skip


def peer_cases() -> Iterator[tuple[str, str, Value]]:
    """Yield the kind, the form and the decoded value of each message between controllers."""
    yield "message", "whole", PEER_MESSAGE
    yield "message", "with the quota part", PEER_MESSAGE | {"quota": QUOTA_MESSAGE}
    yield "message", "partial", PARTIAL_PEER_MESSAGE
    yield "message", "from outside the view", {"member": "c1", "inc": "ab12", "view": 0, "seq": 0, "lacks": False}
    yield "message", "defaults written", PEER_MESSAGE | {"more": False, "quota": None}
    yield "message", "another version", PEER_MESSAGE | {"wire": 4}
    yield "message", "status without an address", PARTIAL_PEER_MESSAGE | {"status": {"vm-000231": MACHINE_STATUS[:-1]}}
    yield "message", "status that is too short", PARTIAL_PEER_MESSAGE | {"status": {"vm-000231": MACHINE_STATUS[:-2]}}
    yield (
        "message",
        "status of a later version",
        PARTIAL_PEER_MESSAGE | {"status": {"vm-000231": [*MACHINE_STATUS, "later"]}},
    )
    for phase in ("queued", "sent", "fetching", "running", "flushing", "ended", "refused", "gone", "STOPPED"):
        task_rows = [["j-000412", 3, 2, phase, None]]
        yield (
            "message",
            f"task {phase}",
            PARTIAL_PEER_MESSAGE | {"status": {"vm-000231": [*MACHINE_STATUS[:10], task_rows]}},
        )
    for desired_state in ("run", "stop", "reap", "preempt"):
        yield (
            "message",
            f"wish {desired_state}",
            PARTIAL_PEER_MESSAGE | {"wishes": {"vm-000231": [["j-000412", 3, 2, desired_state, 0.0]]}},
        )
    for form, variant in field_variants(PEER_MESSAGE):
        yield "message", form, variant
    yield "answer", "whole", PEER_REPLY
    yield "answer", "that can't tell", PEER_REPLY | {"over": None}
    for form, variant in field_variants(PEER_REPLY):
        yield "answer", form, variant
    yield "quota", "whole", QUOTA_MESSAGE
    yield (
        "quota",
        "short",
        {name: QUOTA_MESSAGE[name] for name in ("version", "view", "sender", "incarnation", "receiver")},
    )
    yield "quota", "another version", QUOTA_MESSAGE | {"version": 2}
    for form, variant in field_variants(QUOTA_MESSAGE):
        yield "quota", form, variant
    for kind in codecs.PEER_CODECS:
        for value in (None, [], "text"):
            yield kind, f"value {value!r}", value


def freeze_peers() -> None:
    """Write the files of `test_peers` except the recorded traffic."""
    cases = []
    for kind, form, value in peer_cases():
        body = cbor2.dumps(value)
        case = {"kind": kind, "form": form, "body": body.hex()}
        try:
            case["read"] = codecs.PEER_CODECS[kind](body).hex()
        except codecs.REFUSAL_ERRORS as error:
            case["error"] = str(error)
        cases.append(case)
    frozen.write_text("peers.jsonl", frozen.to_lines(cases))
    frozen.write_text("versions.json", to_json(codecs.format_versions()) + "\n")


def freeze_traffic() -> None:
    """Write the recorded traffic of each scenario, a file each."""
    for scenario in traffic.SCENARIOS:
        frozen.write_text(f"traffic/{scenario}.jsonl", frozen.to_lines(frozen.record_traffic(scenario)))


def freeze_operators() -> None:
    """Write the files of `test_operators`."""
    frozen.write_text("settings.json", json.dumps(codecs.setting_definitions(), indent=1) + "\n")
    with tempfile.TemporaryDirectory() as folder:
        command_line_cases = [
            command_lines.command_line_case(arguments, Path(folder)) for arguments in command_lines.COMMAND_LINES
        ]
    frozen.write_text("command_line.jsonl", frozen.to_lines(command_line_cases))
    frozen.write_text("help.json", json.dumps(command_lines.usage_words(), indent=1) + "\n")
    file_cases = []
    with tempfile.TemporaryDirectory() as folder:
        for kind, content in command_lines.OPERATOR_FILES:
            file_cases.append(command_lines.operator_file_case(kind, content, Path(folder)))
    frozen.write_text("files.jsonl", frozen.to_lines(file_cases))
    limit_cases = [command_lines.limit_change_case(*change) for change in command_lines.LIMIT_CHANGES]
    frozen.write_text("limit_changes.jsonl", frozen.to_lines(limit_cases))


def freeze_http() -> None:
    """Write the file of `test_answers`."""
    with tempfile.TemporaryDirectory() as folder:
        frozen.write_text("http.json", json.dumps(http_calls.http_cases(Path(folder)), indent=1) + "\n")


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != "0":
        sys.exit("PYTHONHASHSEED=0 is needed, as in CI")
    freeze_records()
    freeze_protocol()
    freeze_peers()
    freeze_traffic()
    freeze_operators()
    freeze_http()
