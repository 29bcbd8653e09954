"""The administration API on the peer address: the routing of its requests, and changes of the operators' settings."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

from ramptide.clients.key_value_store import KeyValueStore
from ramptide.clients.transactions import Put, Transaction, TransactionResult
from ramptide.config.settings import SettingsError
from ramptide.config.tuning import BOUNDS, Tuning
from ramptide.protocol.types import MessageError, decode_json, encode_error, encode_json
from ramptide.state.records import SETTINGS_KEY
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.runtime import JSON

__all__ = ["METRICS_PATH", "QUOTA_PATH", "SETTINGS_PATH", "STATUS_PATH", "AdminApi"]

SETTINGS_PATH, STATUS_PATH, METRICS_PATH = "/admin/settings", "/admin/status", "/metrics"
QUOTA_PATH = "/admin/quota"

#: Sends a response with this status code, body and content type.
Answer = Callable[[int, bytes, str], None]
Handler = Callable[[bytes, Answer], None]


class TuningSource(Protocol):
    """The part of the controller's state that holds the operators' current settings."""

    @property
    def tuning(self) -> Tuning:
        """The operators' settings."""


class QuotaCalls(Protocol):
    """The requests about team limits, which exist where the quota feature is on."""

    def show(self, body: bytes, answer: Answer) -> None:
        """Answer with the limits in force."""

    def change(self, body: bytes, answer: Answer) -> None:
        """Write changes of limits to the key-value store, and answer."""


class AdminApi:
    """Answers operators' requests about one controller, and writes their changes of the settings.

    Parameters
    ----------
    status
        Returns the status as a JSON value.
    metrics
        Returns the metrics in the Prometheus text format, and their content type.
    quota
        The requests about team limits, or None where the quota feature is off.
    """

    def __init__(
        self,
        state: TuningSource,
        store: KeyValueStore,
        watch_cache: WatchCache,
        status: Callable[[], dict[str, Any]],
        metrics: Callable[[], tuple[bytes, str]],
        quota: QuotaCalls | None,
    ) -> None:
        self._state = state
        self._store = store
        self._watch_cache = watch_cache
        self._status = status
        self._metrics = metrics
        self._handlers: dict[str, dict[str, Handler]] = {
            SETTINGS_PATH: {"GET": self._show_settings, "PATCH": self._change_settings},
            STATUS_PATH: {"GET": self._show_status},
            METRICS_PATH: {"GET": self._show_metrics},
        }
        if quota is not None:
            self._handlers[QUOTA_PATH] = {"GET": quota.show, "PATCH": quota.change}

    def handle(self, method: str, path: str, body: bytes, answer: Answer) -> bool:
        """Answer a request to this API; return False when the path is not part of the API."""
        if path not in self._handlers:
            return False
        handler = self._handlers[path].get(method)
        if handler is None:
            answer(HTTPStatus.METHOD_NOT_ALLOWED, encode_error("method not allowed"), JSON)
        else:
            handler(body, answer)
        return True

    def _show_status(self, _body: bytes, answer: Answer) -> None:
        answer(HTTPStatus.OK, encode_json(self._status()), JSON)

    def _show_metrics(self, _body: bytes, answer: Answer) -> None:
        text, content_type = self._metrics()
        answer(HTTPStatus.OK, text, content_type)

    def _show_settings(self, _body: bytes, answer: Answer) -> None:
        values, defaults = self._state.tuning.to_value(), Tuning().to_value()
        settings = {
            name: {
                "value": values[name],
                "default": defaults[name],
                "low": bound.low,
                "high": bound.high,
                "text": bound.description,
            }
            for name, bound in BOUNDS.items()
        }
        answer(HTTPStatus.OK, encode_json(settings), JSON)

    def _change_settings(self, body: bytes, answer: Answer) -> None:
        try:
            tuning = self._state.tuning.with_changes(decode_json(body))
        except (MessageError, SettingsError) as error:
            answer(HTTPStatus.BAD_REQUEST, encode_error(str(error)), JSON)
            return
        defaults = Tuning().to_value()
        changed = {name: value for name, value in tuning.to_value().items() if value != defaults[name]}
        transaction = Transaction(
            conditions={SETTINGS_KEY: self._watch_cache.mod_revision(SETTINGS_KEY)},
            puts=[Put(SETTINGS_KEY, changed)],
        )

        def on_result(result: TransactionResult) -> None:
            if result.is_applied:
                self._watch_cache.apply_commit(transaction, result.commit_revision)
                self._show_settings(b"", answer)
            elif result.is_conflict:
                answer(HTTPStatus.CONFLICT, encode_error("the settings were changed meanwhile"), JSON)
            else:
                answer(HTTPStatus.SERVICE_UNAVAILABLE, encode_error("the state service does not answer"), JSON)

        self._store.commit(transaction, on_result)
