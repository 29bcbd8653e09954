"""Durations for which a controller may act on what it knows, derived from the timings of the agents."""

from dataclasses import dataclass
from datetime import timedelta

from ramptide.agents.lease_expiry import MAX_CLOCK_DRIFT_RATIO
from ramptide.protocol.settings_file import AgentTimings

__all__ = ["ControllerTimings"]

#: The part of the cancellation timeout that is left for the replies that are in flight when renewals end.
RENEWAL_MARGIN = timedelta(seconds=2)
#: The upper bound of `max_renewal_proof_age`: long enough to span the restart of a controller that has to agree that
#: the key-value store is unavailable, and short because a new view waits until this time has passed.
MAX_RENEWAL_PROOF_AGE = timedelta(seconds=6)
#: The part of the cancellation timeout after which a machine that cannot be proven free of a cancelled task is
#: returned. The rest has to suffice when a new leader takes over just before: for its election, three missed
#: heartbeats, and the return.
CONFIRM_TIMEOUT_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class ControllerTimings:
    """The durations that apply in one cluster.

    Attributes
    ----------
    heartbeat_interval, lease_duration
        How often agents send heartbeats, and how long an agent runs its tasks on after its last answered heartbeat.
    cancel_timeout
        The longest time that a task of a cancelled job may run after the cancellation was confirmed.
    confirm_timeout
        How long a cancelled task may possibly be on a silent machine before the machine is returned.
    max_renewal_proof_age
        How long after the last proof of membership the leases of agents may be renewed.
    """

    heartbeat_interval: timedelta
    lease_duration: timedelta
    cancel_timeout: timedelta
    confirm_timeout: timedelta
    max_renewal_proof_age: timedelta

    @classmethod
    def of_agents(cls, agents: AgentTimings) -> "ControllerTimings":
        """Derive the durations from the settings."""
        lease_duration = timedelta(seconds=agents.lease_s)
        cancel_timeout = timedelta(seconds=agents.cancel_timeout_s)
        # A member without proof of membership may renew leases only while they still expire in time for any
        # cancellation that other controllers may have confirmed since, and only briefly, as other controllers wait for
        # the renewals to end.
        max_age_before_cancellation = cancel_timeout - lease_duration * MAX_CLOCK_DRIFT_RATIO - RENEWAL_MARGIN
        return cls(
            heartbeat_interval=timedelta(seconds=agents.heartbeat_interval_s),
            lease_duration=lease_duration,
            cancel_timeout=cancel_timeout,
            confirm_timeout=cancel_timeout * CONFIRM_TIMEOUT_RATIO,
            max_renewal_proof_age=min(max_age_before_cancellation, MAX_RENEWAL_PROOF_AGE),
        )
