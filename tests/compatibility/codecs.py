"""Adapters between the frozen files and the code under test.

No other module of this package imports the messages, records, settings or command line of the service, so a renamed
type, field or function of these is followed here alone. The keys of the tables of codecs are the kinds in the frozen
files. A codec decodes bytes and encodes the result again with the service's own encoder, so its output has only the
names that the external formats use.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from pathlib import Path
from typing import Any

import cbor2
import msgspec

from ramptide import cli
from ramptide.api import administration
from ramptide.cluster import membership, messages, view
from ramptide.config import features, tuning
from ramptide.controller import replication
from ramptide.controller.administration import build_admin_api
from ramptide.protocol import agents, cloud, jobs, key_value_store, settings_file, types
from ramptide.quota import messages as quota_messages
from ramptide.quota import overrides, plan_file
from ramptide.state import records

Codec = Callable[[bytes], bytes]

#: The exceptions that decoders raise for input that they refuse.
REFUSAL_ERRORS = (ValueError, msgspec.MsgspecError, cbor2.CBORDecodeError, plan_file.PlanError)


# Records in the key-value store.


def _record_codec(record_type: Any) -> Codec:
    def reencode(body: bytes) -> bytes:
        return types.encode_json(records.to_value(msgspec.convert(types.decode_json(body), record_type)))

    return reencode


def _reencode_job_record(body: bytes) -> bytes:
    """Decode and encode a job's record, and also the set of completed tasks in it."""
    record = msgspec.convert(types.decode_json(body), records.JobRecord)
    progress = records.Progress.decode(record.progress).encode()
    return types.encode_json(records.to_value(msgspec.structs.replace(record, progress=progress)))


def _reencode_machine_types_record(body: bytes) -> bytes:
    machine_types = msgspec.convert(types.decode_json(body), list[cloud.MachineType])
    return types.encode_json([msgspec.to_builtins(machine_type) for machine_type in machine_types])


def _reencode_limit_record(body: bytes) -> bytes:
    return types.encode_json(msgspec.to_builtins(overrides.decode_record(types.decode_json(body))))


def _reencode_view_record(body: bytes) -> bytes:
    return types.encode_json(msgspec.to_builtins(msgspec.convert(types.decode_json(body), view.View)))


def _reencode_settings_record(body: bytes) -> bytes:
    """Decode the stored operators' settings; the result has the default of each setting that is not stored."""
    return types.encode_json(tuning.Tuning.from_value(types.decode_json(body)).to_value())


RECORD_CODECS: dict[str, Codec] = {
    "job": _reencode_job_record,
    "ended": _record_codec(records.FinishedJobRecord),
    "rental": _record_codec(records.RentalRecord),
    "flavors": _reencode_machine_types_record,
    "settings": _reencode_settings_record,
    "limit": _reencode_limit_record,
    "view": _reencode_view_record,
}


def machines_of_rental(rental_id: str, body: bytes) -> Any:
    """Return, by host, the fields of each machine in a rental's record, in the order of `MachineRecord`."""
    rental = msgspec.convert(types.decode_json(body), records.RentalRecord)
    return {
        host: [
            machine.machine_type,
            machine.zone,
            machine.spot,
            machine.created_in_view,
            machine.requested_timestamp,
            machine.drain_reason,
            machine.registered,
            machine.rental_id,
        ]
        for host, machine in rental.machine_records(rental_id).items()
    }


def completed_tasks(body: bytes) -> list[int]:
    """Return the indexes of the completed tasks in a job's record."""
    progress = records.Progress.decode(msgspec.convert(types.decode_json(body), records.JobRecord).progress)
    return [task_index for task_index in range(jobs.MAX_TASKS) if task_index in progress]


def record_keys(team: str) -> dict[str, str]:
    """Return the key of each kind of record, or the prefix of the keys of kinds with many records.

    The entry "team of the limit" is the team that is decoded from the key of its limit.
    """
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


# Messages of users, agents, the cloud and the key-value store, and the settings file. A codec encodes the fields of an
# incoming message in the order of the decoded type.


def _codec_of(decode: Callable[[bytes], Any]) -> Codec:
    return lambda body: types.encode_json(decode(body))


def _reencode_heartbeat(body: bytes) -> bytes:
    heartbeat = agents.decode_heartbeat(body)
    task_reports = agents.decode_task_reports(heartbeat.raw_tasks)
    return types.encode_json([heartbeat, task_reports])


def _reencode_task_id(body: bytes) -> bytes:
    return types.encode_json(agents.parse_task_id(body.decode()))


INCOMING_CODECS: dict[str, Codec] = {
    "submission": _codec_of(jobs.decode_job_spec),
    "heartbeat": _reencode_heartbeat,
    "task name": _reencode_task_id,
    "flavors": _codec_of(cloud.decode_machine_types),
    "rentals": _codec_of(cloud.decode_machine_page),
    "hosts": _codec_of(cloud.decode_rented_hosts),
    "row": _codec_of(key_value_store.decode_key_value),
    "rows": _codec_of(key_value_store.decode_key_value_page),
    "changes": _codec_of(key_value_store.decode_events),
    "committed": _codec_of(key_value_store.decode_commit_revision),
    "failed": _codec_of(key_value_store.decode_failed_keys),
    "grant": _codec_of(key_value_store.decode_lease_id),
    "settings": _codec_of(settings_file.decode_settings),
}


def outgoing_messages() -> dict[str, bytes]:
    """Return the messages that controllers send to users, agents, the cloud and the key-value store, with fixed values.

    Messages between controllers are not among them.
    """
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
        # A start is never sent directly.
        "direct commands": agents.encode_commands(41, 3, commands[1:]),
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


def request_paths() -> dict[str, str]:
    """Return the path of each kind of request."""
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
        "settings": administration.SETTINGS_PATH,
        "status": administration.STATUS_PATH,
        "metrics": administration.METRICS_PATH,
        "quota": administration.QUOTA_PATH,
    }


# Messages between controllers.


def _reencode_peer_message(body: bytes) -> bytes:
    return messages.encode_message(msgspec.convert(cbor2.loads(body), messages.PeerMessage))


def _reencode_peer_reply(body: bytes) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(msgspec.convert(cbor2.loads(body), messages.PeerReply)))


def _reencode_quota_message(body: bytes) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(quota_messages.decode_quota_message(cbor2.loads(body))))


PEER_CODECS: dict[str, Codec] = {
    "message": _reencode_peer_message,
    "answer": _reencode_peer_reply,
    "quota": _reencode_quota_message,
}


def format_versions() -> dict[str, int]:
    """Return the version numbers in peer messages, quota messages and records of team limits."""
    return {
        "peers": messages.MESSAGE_VERSION,
        "quota": quota_messages.VERSION,
        "limit record": overrides.RECORD_VERSION,
    }


@contextmanager
def machines_per_message(machine_count: int) -> Iterator[None]:
    """Limit the changed machines in one peer message, and let each of them have its own sequence number."""
    original = replication.MACHINES_PER_MESSAGE, replication.MACHINES_PER_SEQUENCE_NUMBER
    replication.MACHINES_PER_MESSAGE, replication.MACHINES_PER_SEQUENCE_NUMBER = machine_count, 1
    try:
        yield
    finally:
        replication.MACHINES_PER_MESSAGE, replication.MACHINES_PER_SEQUENCE_NUMBER = original


# Settings, files and commands of operators.


def change_limit(team: str, changes: Any, record: Any, platform: Any) -> Any:
    """Return the record that an operator's change of a team's limit writes.

    `record`: the team's stored record, or None. `platform`: the team in the settings file, or None.
    """
    stored_record = None if record is None else overrides.decode_record(record)
    platform_team = None if platform is None else msgspec.convert(platform, settings_file.Team)
    return msgspec.to_builtins(overrides.with_pending_change(team, changes, stored_record, platform_team))


def change_settings(changes: Any) -> dict[str, float | int]:
    """Return all operators' settings after some of the defaults were changed."""
    return tuning.Tuning().with_changes(changes).to_value()


def setting_definitions() -> dict[str, list[Any]]:
    """Return the default, the lowest and the highest value, and the description of each operators' setting."""
    defaults = tuning.Tuning().to_value()
    return {name: [defaults[name], bound.low, bound.high, bound.description] for name, bound in tuning.BOUNDS.items()}


def load_features(path: Path) -> Any:
    """Return the content of a features file."""
    return msgspec.to_builtins(features.load_features(path))


def features_from_value(value: Any) -> Any:
    """Return the features with which a controller is started."""
    return msgspec.convert(value, features.Features)


def load_plan(path: Path) -> Any:
    """Return the content of an input file of `quota plan`."""
    return msgspec.to_builtins(plan_file.load(path))


def run_command(arguments: list[str]) -> int:
    """Run a command line in this process, and return its exit status."""
    try:
        return cli.main(arguments)
    except SystemExit as system_exit:
        return int(system_exit.code or 0)


def call_admin_api(controller: Any, method: str, path: str, respond: Callable[[int, bytes, str], None]) -> bool:
    """Send a request without a body to the administration API of a controller of the virtual world."""
    return build_admin_api(controller).handle(method, path, b"", respond)
