"""The whole answers of real processes to users, agents, controllers and operators; status fields and metric names."""

from typing import Any

import pytest

from compatibility import frozen, http_calls

FROZEN = frozen.read_json("http.json")


@pytest.fixture(scope="module")
def found(tmp_path_factory: pytest.TempPathFactory) -> Any:
    return http_calls.everything(tmp_path_factory.mktemp("answers"))


@pytest.mark.parametrize(
    ("cluster", "part"),
    [(cluster, part) for cluster in ("cluster", "cluster with limits") for part in FROZEN[cluster]],
)
def test_answers_of_a_cluster(found: Any, cluster: str, part: str) -> None:
    assert found[cluster][part] == FROZEN[cluster][part]


def test_answers_without_the_state_service(found: Any) -> None:
    assert found["without the state service"] == FROZEN["without the state service"]


def test_the_deploy_files(found: Any) -> None:
    assert found["deploy"] == FROZEN["deploy"]
