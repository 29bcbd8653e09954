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

from ramptide import cli
from ramptide.api import administration as admin
from ramptide.cluster import membership, messages, view
from ramptide.config import features as parts_file
from ramptide.config import tuning
from ramptide.controller import replication as syncing
from ramptide.controller.administration import build_admin_api
from ramptide.protocol import agents, cloud, jobs, key_value_store, settings_file, types
from ramptide.quota import messages as quota_messages
from ramptide.quota import overrides, plan_file
from ramptide.state import records

Codec = Callable[[bytes], bytes]

#: What decoders raise for input that they refuse.
REFUSED = (ValueError, msgspec.MsgspecError, cbor2.CBORDecodeError, plan_file.PlanError)


# Stored records.


def _record(kind: Any) -> Codec:
    def again(body: bytes) -> bytes:
        return types.encode_json(records.to_value(msgspec.convert(types.decode_json(body), kind)))

    return again


def _job_record(body: bytes) -> bytes:
    """Also the set of done tasks goes through its own type."""
    record = msgspec.convert(types.decode_json(body), records.JobRecord)
    done = records.Progress.decode(record.progress).encode()
    return types.encode_json(records.to_value(msgspec.structs.replace(record, progress=done)))


def _flavors_record(body: bytes) -> bytes:
    flavors = msgspec.convert(types.decode_json(body), list[cloud.MachineType])
    return types.encode_json([msgspec.to_builtins(flavor) for flavor in flavors])


def _limit_record(body: bytes) -> bytes:
    return types.encode_json(msgspec.to_builtins(overrides.decode_record(types.decode_json(body))))


def _view_record(body: bytes) -> bytes:
    return types.encode_json(msgspec.to_builtins(msgspec.convert(types.decode_json(body), view.View)))


def _settings_record(body: bytes) -> bytes:
    """The operators' settings: what is stored, with the default of each that is not."""
    return types.encode_json(tuning.Tuning.from_value(types.decode_json(body)).to_value())


RECORDS: dict[str, Codec] = {
    "job": _job_record,
    "ended": _record(records.FinishedJobRecord),
    "rental": _record(records.RentalRecord),
    "flavors": _flavors_record,
    "settings": _settings_record,
    "limit": _limit_record,
    "view": _view_record,
}


def machines_of_rental(name: str, body: bytes) -> Any:
    """What a rental's record says of each of its machines, in the order of the fields."""
    rental = msgspec.convert(types.decode_json(body), records.RentalRecord)
    return {
        host: [
            one.machine_type,
            one.zone,
            one.spot,
            one.created_in_view,
            one.requested_timestamp,
            one.drain_reason,
            one.registered,
            one.rental_id,
        ]
        for host, one in rental.machine_records(name).items()
    }


def done_tasks(body: bytes) -> list[int]:
    """The done tasks of a job's record."""
    progress = records.Progress.decode(msgspec.convert(types.decode_json(body), records.JobRecord).progress)
    return [task for task in range(jobs.MAX_TASKS) if task in progress]


def record_keys(team: str) -> dict[str, str]:
    """The key of each kind of record; the prefix where there are many of a kind."""
    return {
        "job": records.JOB_PREFIX,
        "ended": records.FINISHED_PREFIX,
        "rental": records.RENTAL_PREFIX,
        "flavors": records.MACHINE_TYPES_KEY,
        "settings": records.SETTINGS_KEY,
        "limit": overrides.key_of(team),
        "team of the limit": overrides.team_of(overrides.key_of(team)),
        "view": membership.VIEW_KEY,
        "leader": membership.LEADER_KEY,
        "member": membership.MEMBER_PREFIX,
    }


# Messages of PROTOCOL and the settings file: what comes in is written again, in the order of the type's fields.


def _plain(decode: Callable[[bytes], Any]) -> Codec:
    return lambda body: types.encode_json(decode(body))


def _heartbeat(body: bytes) -> bytes:
    heartbeat = agents.decode_heartbeat(body)
    tasks = agents.decode_task_reports(heartbeat.raw_tasks)
    return types.encode_json([heartbeat, tasks])


def _task_name(body: bytes) -> bytes:
    return types.encode_json(agents.parse_task_id(body.decode()))


INCOMING: dict[str, Codec] = {
    "submission": _plain(jobs.decode_job_spec),
    "heartbeat": _heartbeat,
    "task name": _task_name,
    "flavors": _plain(cloud.decode_machine_types),
    "rentals": _plain(cloud.decode_machine_page),
    "hosts": _plain(cloud.decode_rented_hosts),
    "row": _plain(key_value_store.decode_key_value),
    "rows": _plain(key_value_store.decode_key_value_page),
    "changes": _plain(key_value_store.decode_events),
    "committed": _plain(key_value_store.decode_commit_revision),
    "failed": _plain(key_value_store.decode_failed_keys),
    "grant": _plain(key_value_store.decode_lease_id),
    "settings": _plain(settings_file.decode_settings),
}


def outgoing() -> dict[str, bytes]:
    """Each message that the service makes, of fixed values."""
    commands = [
        agents.start_command("j-000412", 4, 2),
        agents.stop_command("j-000377", 1, 1, timedelta(seconds=10)),
        agents.stop_command("j-000377", 2, 3, timedelta(seconds=2.5)),
        agents.stop_command("j-000377", 3, 1, timedelta(0)),
        agents.reap_command("j-000398", 0, 1),
    ]
    conditions = {"a/b": 0, "c/d": 412}
    puts = [key_value_store.Put("a/b", {"x": 1}, 7), key_value_store.Put("c/d", [1, "two", None])]
    return {
        "direct commands": agents.encode_commands(41, 3, commands),
        "direct commands, none": agents.encode_commands(41, 3, []),
        "answer to a heartbeat": agents.encode_heartbeat_reply(41, commands),
        "redirect": agents.encode_redirect("rig-2"),
        "redirect to nobody": agents.encode_redirect(None),
        "accepted job": jobs.encode_job_status("j-000412", "pending"),
        "polled job": jobs.encode_job_status("j-000412", "running", 3, 2),
        "rent": cloud.encode_rent_request("r-17", "g8", "a", True, 12),
        "return": cloud.encode_return_request(["vm-000231", "vm-000232"]),
        "lease": key_value_store.encode_lease_request(timedelta(milliseconds=5000)),
        "transaction": key_value_store.encode_transaction(conditions, puts, ["e/f"]),
        "comparison": key_value_store.encode_transaction(conditions, [], []),
    }


def paths() -> dict[str, str]:
    """The path of each call."""
    return {
        "jobs": jobs.JOBS_PATH,
        "health": jobs.HEALTH_PATH,
        "heartbeat": agents.HEARTBEAT_PATH,
        "commands": agents.COMMANDS_PATH,
        "inspect": agents.INSPECT_PATH,
        "machine types": cloud.MACHINE_TYPES_PATH,
        "rentals": cloud.RENTALS_PATH,
        "return": cloud.RETURN_PATH,
        "keys": key_value_store.KEYS_PATH,
        "transaction": key_value_store.TRANSACTION_PATH,
        "leases": key_value_store.LEASES_PATH,
        "changes": key_value_store.WATCH_PATH,
        "peers": messages.PEER_MESSAGES_PATH,
        "settings": admin.SETTINGS_PATH,
        "status": admin.STATUS_PATH,
        "metrics": admin.METRICS_PATH,
        "quota": admin.QUOTA_PATH,
    }


# Messages between controllers.


def _peer_message(body: bytes) -> bytes:
    return messages.encode_message(msgspec.convert(cbor2.loads(body), messages.PeerMessage))


def _peer_answer(body: bytes) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(msgspec.convert(cbor2.loads(body), messages.PeerReply)))


def _quota_message(body: bytes) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(quota_messages.decode_quota_message(cbor2.loads(body))))


PEERS: dict[str, Codec] = {"message": _peer_message, "answer": _peer_answer, "quota": _quota_message}


def peer_versions() -> dict[str, int]:
    """The version numbers that messages between controllers and records bear."""
    return {
        "peers": messages.MESSAGE_VERSION,
        "quota": quota_messages.VERSION,
        "limit record": overrides.RECORD_VERSION,
    }


@contextmanager
def small_messages(machines: int) -> Iterator[None]:
    """Controllers tell of no more than so many machines in one message."""
    kept = syncing.MACHINES_PER_MESSAGE, syncing.MACHINES_PER_SEQUENCE_NUMBER
    syncing.MACHINES_PER_MESSAGE, syncing.MACHINES_PER_SEQUENCE_NUMBER = machines, 1
    try:
        yield
    finally:
        syncing.MACHINES_PER_MESSAGE, syncing.MACHINES_PER_SEQUENCE_NUMBER = kept


# Operators: settings, the files and the command line.


def change_limit(team: str, changes: Any, record: Any, platform: Any) -> Any:
    """An operator's change of a team's limit: the record that is written. `platform`: the team in the settings."""
    before = None if record is None else overrides.decode_record(record)
    known = None if platform is None else msgspec.convert(platform, settings_file.Team)
    return msgspec.to_builtins(overrides.with_pending_change(team, changes, before, known))


def change_settings(changes: Any) -> dict[str, float | int]:
    """The operators' settings after a change of the defaults."""
    return tuning.Tuning().with_changes(changes).to_value()


def setting_bounds() -> dict[str, list[Any]]:
    """Each setting with its default, its bounds and its text."""
    defaults = tuning.Tuning().to_value()
    return {name: [defaults[name], bound.low, bound.high, bound.description] for name, bound in tuning.BOUNDS.items()}


def load_parts(path: Path) -> Any:
    """The file that switches parts on."""
    return msgspec.to_builtins(parts_file.load_features(path))


def features(value: Any) -> Any:
    """The parts of the service that are on, as controllers are started with them."""
    return msgspec.convert(value, parts_file.Features)


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
    return build_admin_api(controller).handle(method, path, b"", answer)
