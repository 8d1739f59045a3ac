"""Orders to an engine, with fencing: load models and adapters, change the role."""

import threading
import urllib.error
import urllib.request
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from cicadapass_standins.exceptions import BadRequest
from cicadapass_standins.server import (
    NOT_RUN,
    Response,
    error_response,
    int_field,
    json_response,
    string_field,
)

MAX_ORDERS = 1000
FETCH_RETRY_PAUSE_S = 0.2
FETCH_TIMEOUT_S = 30.0
# The required string fields of each kind of order.
REQUIRED_FIELDS = {
    "load_model": ("model", "version"),
    "unload_model": ("model",),
    "load_adapter": ("adapter", "version"),
    "set_role": ("role",),
}


class Orders:
    """Execute orders, each in a thread, and track the resulting state."""

    def __init__(self, model: str, version: str, weights_url: str) -> None:
        self._weights_url = weights_url
        self._changed = threading.Condition()
        self._closing = threading.Event()
        self._fencing_number = -1
        self._serves_all_models = not model
        self._models = {model: version} if model else {}
        self._adapters: dict[str, str] = {}
        self._role = "serve"
        self._orders: list[dict[str, Any]] = []

    def serves(self, model: str) -> bool:
        """Return whether a model is served; without an initial model, any is."""
        return self._serves_all_models or not model or model in self._models

    def accept(
        self, fields: Mapping[str, Any], checks_fencing: bool, order_s: float
    ) -> Response:
        """Start an order and return its response.

        With `checks_fencing` an order with a fencing number lower than the highest
        one received is refused with status 409.
        """
        fencing_number = int_field(fields, "fencing_number")
        order = fields.get("order")
        _validate_order(order)
        with self._changed:
            if checks_fencing and fencing_number < self._fencing_number:
                error = f"a newer fencing number was received: {self._fencing_number}"
                return error_response(HTTPStatus.CONFLICT, error, NOT_RUN)
            self._fencing_number = max(fencing_number, self._fencing_number)
            entry = {
                "fencing_number": fencing_number,
                "order": order,
                "state": "running",
            }
            self._orders.append(entry)
            del self._orders[:-MAX_ORDERS]
        args = (entry, order_s)
        threading.Thread(target=self._execute, args=args, daemon=True).start()
        return json_response(entry, HTTPStatus.ACCEPTED)

    def as_dict(self) -> dict[str, Any]:
        """Return the loaded models and adapters, the role and the latest orders."""
        with self._changed:
            return {
                "fencing_number": self._fencing_number,
                "models": dict(self._models),
                "adapters": dict(self._adapters),
                "role": self._role,
                "orders": [dict(entry) for entry in self._orders],
            }

    def wait_until_done(self, timeout_s: float) -> bool:
        """Wait until all orders are done; return False at the timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: all(entry["state"] == "done" for entry in self._orders),
                timeout_s,
            )

    def close(self) -> None:
        """Abandon the orders that are not done yet."""
        self._closing.set()

    def _execute(self, entry: dict[str, Any], order_s: float) -> None:
        order = entry["order"]
        self._closing.wait(order_s)
        if self._weights_url and order["kind"] == "load_model":
            self._fetch(order)
        with self._changed:
            if self._closing.is_set():
                return
            self._apply(order)
            entry["state"] = "done"
            self._changed.notify_all()

    def _apply(self, order: dict[str, Any]) -> None:
        match order["kind"]:
            case "load_model":
                self._models[order["model"]] = order["version"]
            case "unload_model":
                self._models.pop(order["model"], None)
            case "load_adapter":
                self._adapters[order["adapter"]] = order["version"]
            case "set_role":
                self._role = order["role"]

    def _fetch(self, order: dict[str, Any]) -> None:
        url = f"{self._weights_url}/weights/{order['model']}/{order['version']}"
        while not self._closing.is_set():
            try:
                with urllib.request.urlopen(url, timeout=FETCH_TIMEOUT_S) as response:
                    response.read()
                return
            except (urllib.error.URLError, OSError):
                # The weight store refuses fetches over its rate limit.
                self._closing.wait(FETCH_RETRY_PAUSE_S)


def _validate_order(order: object) -> None:
    if not isinstance(order, dict) or order.get("kind") not in REQUIRED_FIELDS:
        raise BadRequest(f"order.kind must be one of {', '.join(REQUIRED_FIELDS)}")
    for name in REQUIRED_FIELDS[order["kind"]]:
        string_field(order, name)
