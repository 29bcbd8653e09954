"""The only module of these tests that names types and functions of the service.

A renamed type, field or function is followed here, and nowhere else in this folder. The names of codecs are those of
the frozen files. Each codec takes bytes to bytes: what was decoded is written again by the service's own encoding, so
that only names on the wire come out.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from pathlib import Path
from typing import Any

import cbor2
import msgspec

from ramptide import admin, cli, membership, peers, records, settings, syncing, wire
from ramptide import parts as parts_file
from ramptide.quota import messages as quota_messages
from ramptide.quota import overrides, plan_file

Codec = Callable[[bytes], bytes]

#: What decoders raise for input that they refuse.
REFUSED = (ValueError, msgspec.MsgspecError, cbor2.CBORDecodeError, plan_file.PlanError)


# Stored records.


def _record(kind: Any) -> Codec:
    def again(body: bytes) -> bytes:
        return wire.encode(records.to_value(msgspec.convert(wire.decode(body), kind)))

    return again


def _job_record(body: bytes) -> bytes:
    """Also the set of done tasks goes through its own type."""
    record = msgspec.convert(wire.decode(body), records.JobRecord)
    done = records.Progress.decode(record.done).encode()
    return wire.encode(records.to_value(msgspec.structs.replace(record, done=done)))


def _flavors_record(body: bytes) -> bytes:
    flavors = msgspec.convert(wire.decode(body), list[wire.Flavor])
    return wire.encode([msgspec.to_builtins(flavor) for flavor in flavors])


def _limit_record(body: bytes) -> bytes:
    return wire.encode(msgspec.to_builtins(overrides.decode_record(wire.decode(body))))


def _view_record(body: bytes) -> bytes:
    return wire.encode(msgspec.to_builtins(msgspec.convert(wire.decode(body), membership.View)))


def _settings_record(body: bytes) -> bytes:
    """The operators' settings: what is stored, with the default of each that is not."""
    return wire.encode(settings.Tuning.from_value(wire.decode(body)).to_value())


RECORDS: dict[str, Codec] = {
    "job": _job_record,
    "ended": _record(records.EndRecord),
    "rental": _record(records.RentalRecord),
    "flavors": _flavors_record,
    "settings": _settings_record,
    "limit": _limit_record,
    "view": _view_record,
}


def machines_of_rental(name: str, body: bytes) -> Any:
    """What a rental's record says of each of its machines, in the order of the fields."""
    rental = msgspec.convert(wire.decode(body), records.RentalRecord)
    return {
        host: [one.flavor, one.yard, one.spot, one.born, one.at, one.leaving, one.opened, one.rental]
        for host, one in rental.machines(name).items()
    }


def done_tasks(body: bytes) -> list[int]:
    """The done tasks of a job's record."""
    progress = records.Progress.decode(msgspec.convert(wire.decode(body), records.JobRecord).done)
    return [task for task in range(wire.MAX_PIECES) if task in progress]


def record_keys(team: str) -> dict[str, str]:
    """The key of each kind of record; the prefix where there are many of a kind."""
    return {
        "job": records.JOB_PREFIX,
        "ended": records.ENDED_PREFIX,
        "rental": records.RENTAL_PREFIX,
        "flavors": records.FLAVORS_KEY,
        "settings": records.SETTINGS_KEY,
        "limit": overrides.key_of(team),
        "team of the limit": overrides.team_of(overrides.key_of(team)),
        "view": membership.VIEW,
        "leader": membership.LEADER,
        "member": membership.MEMBER,
    }


# Messages of PROTOCOL and the settings file: what comes in is written again, in the order of the type's fields.


def _plain(decode: Callable[[bytes], Any]) -> Codec:
    return lambda body: wire.encode(decode(body))


def _heartbeat(body: bytes) -> bytes:
    heartbeat = wire.decode_beat(body)
    tasks = wire.decode_pieces(heartbeat.pieces)
    return wire.encode([heartbeat, tasks])


def _task_name(body: bytes) -> bytes:
    return wire.encode(wire.split_piece(body.decode()))


INCOMING: dict[str, Codec] = {
    "submission": _plain(wire.decode_run),
    "heartbeat": _heartbeat,
    "task name": _task_name,
    "flavors": _plain(wire.decode_flavors),
    "rentals": _plain(wire.decode_rented),
    "hosts": _plain(wire.decode_hired),
    "row": _plain(wire.decode_row),
    "rows": _plain(wire.decode_rows),
    "changes": _plain(wire.decode_changes),
    "committed": _plain(wire.decode_committed),
    "failed": _plain(wire.decode_failed),
    "grant": _plain(wire.decode_grant),
    "settings": _plain(wire.decode_settings),
}


def outgoing() -> dict[str, bytes]:
    """Each message that the service makes, of fixed values."""
    commands = [
        wire.launch("j-000412", 4, 2),
        wire.kill("j-000377", 1, 1, timedelta(seconds=10)),
        wire.kill("j-000377", 2, 3, timedelta(seconds=2.5)),
        wire.kill("j-000377", 3, 1, timedelta(0)),
        wire.reap("j-000398", 0, 1),
    ]
    conditions = {"a/b": 0, "c/d": 412}
    puts = [("a/b", {"x": 1}, 7), ("c/d", [1, "two", None], None)]
    return {
        "direct commands": wire.encode_orders(41, 3, commands),
        "direct commands, none": wire.encode_orders(41, 3, []),
        "answer to a heartbeat": wire.encode_beat_answer(41, commands),
        "redirect": wire.encode_foreman("rig-2"),
        "redirect to nobody": wire.encode_foreman(None),
        "accepted job": wire.encode_job("j-000412", "pending"),
        "polled job": wire.encode_job("j-000412", "running", 3, 2),
        "rent": wire.encode_hire("r-17", "g8", "a", True, 12),
        "return": wire.encode_return(["vm-000231", "vm-000232"]),
        "lease": wire.encode_grant(timedelta(milliseconds=5000)),
        "transaction": wire.encode_txn(conditions, puts, ["e/f"]),
        "comparison": wire.encode_txn(conditions, [], []),
    }


def paths() -> dict[str, str]:
    """The path of each call."""
    return {
        "jobs": wire.RUNS,
        "health": wire.HEALTH,
        "heartbeat": wire.BEAT,
        "commands": wire.ORDERS,
        "inspect": wire.INSPECT,
        "machine types": wire.FLAVORS,
        "rentals": wire.RENTALS,
        "return": wire.RETURN,
        "keys": wire.KV,
        "transaction": wire.TXN,
        "leases": wire.GRANTS,
        "changes": wire.CHANGES,
        "peers": peers.PATH,
        "settings": admin.SETTINGS_PATH,
        "status": admin.STATUS_PATH,
        "metrics": admin.METRICS_PATH,
        "quota": admin.QUOTA_PATH,
    }


# Messages between controllers.


def _peer_message(body: bytes) -> bytes:
    return peers.encode(msgspec.convert(cbor2.loads(body), peers.Sync))


def _peer_answer(body: bytes) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(msgspec.convert(cbor2.loads(body), peers.Answer)))


def _quota_message(body: bytes) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(quota_messages.decode(cbor2.loads(body))))


PEERS: dict[str, Codec] = {"message": _peer_message, "answer": _peer_answer, "quota": _quota_message}


def peer_versions() -> dict[str, int]:
    """The version numbers that messages between controllers and records bear."""
    return {"peers": peers.WIRE, "quota": quota_messages.VERSION, "limit record": overrides.RECORD_VERSION}


@contextmanager
def small_messages(machines: int) -> Iterator[None]:
    """Controllers tell of no more than so many machines in one message."""
    kept = syncing.MACHINES_PER_MESSAGE, syncing.MACHINES_PER_NUMBER
    syncing.MACHINES_PER_MESSAGE, syncing.MACHINES_PER_NUMBER = machines, 1
    try:
        yield
    finally:
        syncing.MACHINES_PER_MESSAGE, syncing.MACHINES_PER_NUMBER = kept


# Operators: settings, the files and the command line.


def change_limit(team: str, changes: Any, record: Any, platform: Any) -> Any:
    """An operator's change of a team's limit: the record that is written. `platform`: the team in the settings."""
    before = None if record is None else overrides.decode_record(record)
    known = None if platform is None else msgspec.convert(platform, wire.Team)
    return msgspec.to_builtins(overrides.change(team, changes, before, known))


def change_settings(changes: Any) -> dict[str, float | int]:
    """The operators' settings after a change of the defaults."""
    return settings.Tuning().changed(changes).to_value()


def setting_bounds() -> dict[str, list[Any]]:
    """Each setting with its default, its bounds and its text."""
    defaults = settings.Tuning().to_value()
    return {name: [defaults[name], bound.low, bound.high, bound.text] for name, bound in settings.BOUNDS.items()}


def load_parts(path: Path) -> Any:
    """The file that switches parts on."""
    return msgspec.to_builtins(parts_file.load_parts(path))


def features(value: Any) -> Any:
    """The parts of the service that are on, as controllers are started with them."""
    return msgspec.convert(value, parts_file.Parts)


def load_plan(path: Path) -> Any:
    """The file of machines and teams of `quota plan`."""
    return msgspec.to_builtins(plan_file.load(path))


def run_command(arguments: list[str]) -> int:
    """The command line in this process; its exit status."""
    try:
        return cli.main(arguments)
    except SystemExit as ended:
        return int(ended.code or 0)


def operator_call(controller: Any, method: str, path: str, answer: Callable[[int, bytes, str], None]) -> bool:
    """A call of the administration API at a controller of the virtual world."""
    return admin.Admin(controller).handle(method, path, b"", answer)
