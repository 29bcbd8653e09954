"""The replies to agents' heartbeats: immediate, delayed, or redirected to the machine's owner."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import Protocol

from ramptide.agents.direct_stops import DirectStops
from ramptide.agents.finished_jobs import JobLookup, stops_of_finished_jobs, undecided_tasks
from ramptide.agents.owned_machine import HeartbeatId, OwnedMachine
from ramptide.agents.shard import Shard
from ramptide.agents.statistics import AgentStatistics, HeartbeatOutcome, StopOutcome
from ramptide.cluster.view import View
from ramptide.config.tuning import Tuning
from ramptide.protocol.agents import (
    START_VERB,
    STOP_VERB,
    Command,
    Heartbeat,
    decode_heartbeat,
    encode_heartbeat_reply,
    encode_redirect,
    parse_task_id,
)
from ramptide.protocol.types import MessageError, encode_json
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.runtime import Runtime

__all__ = ["HeartbeatHandler", "ReplyCallback"]

log = logging.getLogger(__name__)

NO_TIME = timedelta(0)
#: The body of a reply that asks the agent to try another controller.
TRY_ELSEWHERE = b"{}"

#: Sends a reply with this status and body.
ReplyCallback = Callable[[int, bytes], None]


class HeartbeatState(Protocol):
    """The view of this controller, the machines that it owns there, and the settings."""

    @property
    def member(self) -> str:
        """The name of this controller."""

    @property
    def tuning(self) -> Tuning:
        """The operators' settings."""

    @property
    def view(self) -> View | None:
        """The newest view; None before the first one."""

    @property
    def shard(self) -> Shard | None:
        """The machines that this controller owns; None while this controller is not in the view."""

    def owner_of(self, host: str) -> str:
        """Return the member that owns a machine."""


class ReplyAuthority(Protocol):
    """The authority of this controller towards agents at present."""

    def may_renew(self) -> bool:
        """Return whether leases of agents may still be renewed."""

    def may_reply(self) -> bool:
        """Return whether this controller may reply to agents."""

    def may_start(self) -> bool:
        """Return whether tasks may be started."""


@dataclass(slots=True)
class HeldHeartbeat:
    """A heartbeat whose reply is delayed for a short time, in case a task is started on the machine."""

    heartbeat: Heartbeat
    reply: ReplyCallback
    due_at: timedelta


class HeartbeatHandler:
    """Replies to the agents' heartbeats, to some of them with a delay."""

    def __init__(
        self,
        runtime: Runtime,
        state: HeartbeatState,
        authority: ReplyAuthority,
        watch_cache: WatchCache,
        jobs: JobLookup,
        direct_stops: DirectStops,
        statistics: AgentStatistics,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._authority = authority
        self._watch_cache = watch_cache
        self._jobs = jobs
        self._direct_stops = direct_stops
        self._statistics = statistics
        self._held: dict[str, HeldHeartbeat] = {}

    def on_new_view(self) -> None:
        """Reply to all held heartbeats, so that agents learn their owners and the new fencing token at once."""
        held, self._held = self._held, {}
        for host, waiting in held.items():
            if self._authority.may_reply() and self._state.owner_of(host) != self._state.member:
                owner = self._state.owner_of(host)
                waiting.reply(HTTPStatus.MISDIRECTED_REQUEST, encode_redirect(owner))
            else:
                self._reply(waiting.heartbeat, waiting.reply)

    def reject_held_heartbeat(self, host: str) -> None:
        """Reply with status 503 to the held heartbeat of a machine, if there is one."""
        held = self._held.pop(host, None)
        if held is not None:
            held.reply(HTTPStatus.SERVICE_UNAVAILABLE, b"")

    def receive_heartbeat(self, body: bytes, reply: ReplyCallback) -> None:
        """Process an agent's heartbeat and reply at once or, if no task there is expected to end, with a delay."""
        try:
            heartbeat = decode_heartbeat(body)
        except MessageError as error:
            reply(HTTPStatus.BAD_REQUEST, encode_json({"error": str(error)}))
            return
        view, shard = self._state.view, self._state.shard
        if view is None or self._watch_cache.current_as_of is None:
            self._refuse(heartbeat.host, HeartbeatOutcome.NO_RECORDS, reply)
            return
        owner = self._state.owner_of(heartbeat.host)
        if owner != self._state.member:
            self._redirect(heartbeat.host, owner, reply)
        elif shard is None or not self._authority.may_reply():
            self._refuse(heartbeat.host, HeartbeatOutcome.NO_AUTHORITY, reply)
        elif heartbeat.fencing_token > view.number:
            self._refuse(heartbeat.host, HeartbeatOutcome.NEWER_TOKEN, reply)
        else:
            self._apply_heartbeat(shard, heartbeat, reply)

    def _refuse(self, host: str, outcome: HeartbeatOutcome, reply: ReplyCallback) -> None:
        self._statistics.record_heartbeat(outcome, host)
        reply(HTTPStatus.SERVICE_UNAVAILABLE, TRY_ELSEWHERE)

    def _apply_heartbeat(self, shard: Shard, heartbeat: Heartbeat, reply: ReplyCallback) -> None:
        """Apply a heartbeat of a machine that this controller owns, and reply to it or hold it."""
        host = heartbeat.host
        try:
            is_new = shard.heartbeats.apply(heartbeat, self._runtime.now)
        except MessageError as error:
            self._statistics.record_heartbeat(HeartbeatOutcome.INVALID, host)
            reply(HTTPStatus.BAD_REQUEST, encode_json({"error": str(error)}))
            return
        if not is_new:
            # A late copy must not consume a command, nor count as answered.
            self._refuse(host, HeartbeatOutcome.OUT_OF_DATE, reply)
            return
        self.reject_held_heartbeat(host)
        machine = shard.machines.get(host)
        if machine is not None and self._can_hold_reply(machine) and not shard.commands.has_unsent_commands(host):
            self._held[host] = HeldHeartbeat(heartbeat, reply, self._runtime.now + self._state.tuning.hold)
            return
        self._reply(heartbeat, reply)

    def receive_direct_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process the heartbeat with which an agent responded to the announcement of the view's fencing token."""
        self.apply_direct_heartbeat(heartbeat)
        try:
            self._direct_stops.request(heartbeat)
        except MessageError as error:
            log.debug("broken heartbeat: host=%s error=%r", heartbeat.host, str(error))

    def apply_direct_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply the heartbeat with which an agent responded to a direct request under the view's fencing token.

        It is applied only as the machine's first heartbeat of the view: until then no reply of this controller can be
        on its way to the agent, so a task that the heartbeat does not report is not on the machine. Other controllers
        may have replied up to now, so the agent's lease is counted from now at the earliest.
        """
        shard = self._state.shard
        machine = shard.machines.get(heartbeat.host) if shard is not None else None
        if machine is None or shard is None or heartbeat.fencing_token != shard.view:
            return
        if machine.last_heartbeat_at is not None:
            machine.record_skipped_heartbeat(HeartbeatId.of(heartbeat))
            return
        now = self._runtime.now
        try:
            is_new = self._authority.may_reply() and shard.heartbeats.apply(heartbeat, now)
        except MessageError as error:
            log.debug("broken heartbeat: host=%s error=%r", heartbeat.host, str(error))
            return
        if is_new:
            machine.no_other_owner_since = max(machine.no_other_owner_since, now)

    def _redirect(self, host: str, owner: str, reply: ReplyCallback) -> None:
        if self._authority.may_renew():
            self._statistics.record_heartbeat(HeartbeatOutcome.REDIRECTED, host)
            reply(HTTPStatus.MISDIRECTED_REQUEST, encode_redirect(owner))
        else:
            self._refuse(host, HeartbeatOutcome.NO_AUTHORITY, reply)

    def _can_hold_reply(self, machine: OwnedMachine) -> bool:
        """Return whether the reply can wait for a start, as no task is there whose end would be reported."""
        return (
            self._state.tuning.hold > NO_TIME
            and machine.has_current_token
            and not machine.is_unreachable
            and machine.record.drain_reason is None
            and machine.preempted_at is None
            and machine.runs_only_services()
        )

    def _reply(self, heartbeat: Heartbeat, reply: ReplyCallback) -> None:
        view, shard, host = self._state.view, self._state.shard, heartbeat.host
        if shard is None or view is None or not self._authority.may_reply():
            self._refuse(host, HeartbeatOutcome.NO_AUTHORITY, reply)
            return
        undecided = undecided_tasks(heartbeat, self._jobs)
        if undecided:
            # A renewed lease would let a cancelled task run on; the stop follows once the records are read.
            self._statistics.record_stops(StopOutcome.HELD_RECORDS_BEHIND, host, undecided)
            self._direct_stops.request(heartbeat)
            self._refuse(host, HeartbeatOutcome.RECORDS_BEHIND, reply)
            return
        machine, now = shard.machines.get(host), self._runtime.now
        commands = self._commands_for(shard, machine, heartbeat, now)
        if machine is not None:
            machine.last_reply_at = now
        self._statistics.record_heartbeat(HeartbeatOutcome.ACCEPTED, host)
        reply(HTTPStatus.OK, encode_heartbeat_reply(view.number, commands))

    def _commands_for(
        self, shard: Shard, machine: OwnedMachine | None, heartbeat: Heartbeat, now: timedelta
    ) -> list[Command]:
        """Return the commands for the reply to a heartbeat; before the agent has seen the token, only certain stops."""
        if machine is not None and machine.has_current_token:
            commands = shard.commands.prepare_commands(heartbeat.host, now, self._authority.may_start())
            outcome = StopOutcome.SENT_IN_REPLY
        else:
            commands = stops_of_finished_jobs(heartbeat, self._jobs)
            outcome = StopOutcome.SENT_WITH_TOKEN
        self._record_starts(machine, commands)
        stopped = [command.task_id for command in commands if command.verb == STOP_VERB]
        self._statistics.record_stops(outcome, heartbeat.host, stopped)
        return commands

    def _record_starts(self, machine: OwnedMachine | None, commands: list[Command]) -> None:
        for command in commands:
            if command.verb == START_VERB and machine is not None:
                job_id, task_index = parse_task_id(command.task_id)
                entry = machine.entries.get((job_id, task_index, command.attempt))
                requested_by = entry.requested_by if entry is not None else None
                self._statistics.record_start(machine.host, command.task_id, command.attempt, requested_by)

    def reply_to_held(self, now: timedelta) -> None:
        """Reply to the held heartbeats whose reply is due or whose machines have unsent commands."""
        shard = self._state.shard
        for host, held in list(self._held.items()):
            has_commands = (
                shard is not None and host in shard.hosts_to_notify and shard.commands.has_unsent_commands(host)
            )
            if held.due_at <= now or has_commands:
                del self._held[host]
                self._reply(held.heartbeat, held.reply)
        if shard is not None:
            shard.hosts_to_notify.clear()
