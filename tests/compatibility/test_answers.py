"""Guards against changes of HTTP responses that users, agents, controllers or operators would notice.

Real controller processes answer fixed requests. Statuses, headers and bodies of the responses, the fields of the status
and of the quota report, and the names of the metrics equal the frozen ones.
"""

from typing import Any

import pytest

from compatibility import frozen, http_calls

FROZEN = frozen.read_json("http.json")


@pytest.fixture(scope="module")
def responses(tmp_path_factory: pytest.TempPathFactory) -> Any:
    return http_calls.http_cases(tmp_path_factory.mktemp("answers"))


@pytest.mark.parametrize(
    ("cluster", "part"),
    [(cluster, part) for cluster in ("cluster", "cluster with limits") for part in FROZEN[cluster]],
)
def test_cluster_responses_equal_the_frozen_ones(responses: Any, cluster: str, part: str) -> None:
    assert responses[cluster][part] == FROZEN[cluster][part]


def test_responses_equal_the_frozen_ones_when_the_key_value_store_is_unavailable(responses: Any) -> None:
    assert responses["without the state service"] == FROZEN["without the state service"]


def test_deploy_files_have_the_frozen_fields(responses: Any) -> None:
    assert responses["deploy"] == FROZEN["deploy"]
