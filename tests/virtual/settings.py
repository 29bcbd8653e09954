"""Settings for controllers: an example of a settings file, and the cluster settings of the controllers of a world."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from virtual.world import World

#: A valid settings file: all required fields, the optional process limits, and fields that controllers ignore.
SETTINGS_FILE: dict[str, Any] = {
    "member": "c0", "area": "a", "client_listen": "127.0.0.1:1", "peer_bind": "127.0.0.1:2", "siblings": [],
    "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"}, "unheard_of": 1,
    "cluster": {
        "nodes": 1, "zones": ["a"], "teams": [], "objectives": [{"kind": "wait", "class": "c", "within_s": 3.0}],
        "workers": {"report_s": 1.0, "lease_s": 5.0, "cancel_s": 20.0},
        "state": {"rps": 10.0, "write_rps": 5.0, "value_kb": 4.0, "txn_ops": 12},
        "cloud": {"rps": 5.0, "list_lag_s": 1.0}, "quota": {"cpu": 1.0, "ram_mb": 100.0, "fd_limit": 100},
    },
}  # fmt: skip


def cluster_settings(world: "World", fd_limit: int) -> dict[str, Any]:
    """Return the cluster settings, which all controllers of a world share."""
    return {
        "nodes": len(world.controller_names), "zones": ["a", "b"], "objectives": [],
        "teams": [
            {"name": team, "cpus": world.guarantees.get(team, 0.0), "cpus_max": limit}
            for team, limit in world.teams.items()
        ],
        "workers": {
            "report_s": world.heartbeat_interval_s, "lease_s": world.lease_s, "cancel_s": world.cancel_timeout_s,
        },
        "state": world.store_limits,
        "cloud": {"rps": 20.0, "list_lag_s": 2.0},
        "quota": {"cpu": 1.0, "ram_mb": 200.0, "fd_limit": fd_limit},
    }  # fmt: skip
