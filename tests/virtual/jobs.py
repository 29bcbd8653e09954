"""Job specifications as users submit them."""

from typing import Any


def job_spec(job_id: str, **fields: Any) -> dict[str, Any]:
    """Return the specification of a small batch job; `fields`, named as in the protocol, override the defaults."""
    return {
        "ref": job_id, "jobclass": "c", "owner": "team", "shape": "batch", "rank": "normal", "pieces": 4, "cores": 2.0,
        "cards": 0.0, "ramGb": 4.0, "bundle": "img", "imageGb": 1.0, "oneZone": False, "spread": False,
        "loaners": False, "guessS": 5.0, "markEveryS": 0.0, "markCostS": 0.0,
    } | fields  # fmt: skip
