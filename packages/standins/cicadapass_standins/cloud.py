"""Cloud API stand-in: offers, VM purchases and reclaim notices."""

import json
import threading
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from cicadapass_standins import cmdline
from cicadapass_standins.exceptions import BadRequest, DropConnection
from cicadapass_standins.faults import FaultControl
from cicadapass_standins.server import (
    NOT_RUN,
    Request,
    Response,
    error_response,
    json_response,
    not_found_response,
    retry_later_response,
    string_field,
)

MAX_WAIT_S = 30.0
DEFAULT_OFFERS = [
    {
        "zone": zone,
        "class": vm_class,
        "reclaimable": reclaimable,
        "price_per_hour": price,
    }
    for zone, zone_factor in (("zone-a", 1.0), ("zone-b", 1.2))
    for vm_class, base_price in (("l4", 1.0), ("a100", 4.0))
    for reclaimable, price in (
        (True, round(base_price * zone_factor * 0.35, 3)),
        (False, round(base_price * zone_factor, 3)),
    )
]


@dataclass(frozen=True)
class CloudFaults:
    """Fault settings of the cloud.

    `refuse` lists (zone, class) pairs for which purchases are refused; "*" matches
    any. `lose_answers` counts the purchases that take effect without a response.
    `start_s` is the time from the purchase until the VM is live.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    refuse: tuple[tuple[str, str], ...] = ()
    start_s: float = 0.0


@dataclass(frozen=True)
class CloudOptions:
    """Options of the cloud; `offers` is a JSON list of offer objects."""

    offers: str = json.dumps(DEFAULT_OFFERS)


class Cloud:
    """Keep the purchased VMs and serve the cloud's HTTP interface.

    The control address accepts the commands `notice` (an object, for example
    `{"zone": "zone-a", "seconds": 30}`) and `offers` (replaces the list of offers).
    """

    def __init__(self, options: CloudOptions | None = None) -> None:
        commands: dict[str, Callable[[Any], object]]
        commands = {"notice": self.issue_notice, "offers": self._set_offers}
        self.faults = FaultControl(CloudFaults(), commands)
        self._changed = threading.Condition()
        self._closing = threading.Event()
        self._offers: list[dict[str, Any]] = []
        self._set_offers(json.loads((options or CloudOptions()).offers))
        self._vms: dict[str, dict[str, Any]] = {}
        self._vms_by_purchase: dict[str, dict[str, Any]] = {}
        self._live_at_s: dict[str, float] = {}
        self._notices: list[dict[str, Any]] = []

    def issue_notice(self, notice: dict[str, Any]) -> None:
        """Issue a reclaim notice.

        `seconds` from now, 30 by default, becomes `deadline_s` in Unix time.
        """
        if not isinstance(notice, dict) or not (notice.get("zone") or notice.get("vm")):
            raise BadRequest("notice: zone or vm is required")
        issued = {"kind": "reclaim", "zone": None, "vm": None, **notice}
        issued["deadline_s"] = time.time() + float(issued.pop("seconds", 30.0))
        with self._changed:
            issued["sequence"] = len(self._notices) + 1
            self._notices.append(issued)
            self._changed.notify_all()

    def handle(self, request: Request) -> Response:
        """Serve offers, VM purchases, VM stops and notices."""
        self._closing.wait(self.faults.current.delay_s)
        if self.faults.current.down:
            return retry_later_response(
                HTTPStatus.SERVICE_UNAVAILABLE, "the cloud is down"
            )
        match (request.method, request.path_segments):
            case ("GET", ("offers",)):
                return json_response({"offers": self._offers})
            case ("GET", ("vms",)):
                return self._list_vms()
            case ("POST", ("vms",)):
                return self._buy_vm(request)
            case ("DELETE", ("vms", name)):
                return self._stop_vm(name)
            case ("GET", ("notices",)):
                return self._read_notices(request)
        return not_found_response(request)

    def close(self) -> None:
        """Release all delayed requests and long polls."""
        self._closing.set()
        with self._changed:
            self._changed.notify_all()

    def _set_offers(self, offers: list[dict[str, Any]]) -> None:
        if not isinstance(offers, list):
            raise BadRequest("offers must be a list")
        self._offers = offers

    def _list_vms(self) -> Response:
        with self._changed:
            return json_response(
                {"vms": [self._refreshed_vm(vm) for vm in self._vms.values()]}
            )

    def _buy_vm(self, request: Request) -> Response:
        purchase_id = string_field(request.fields, "purchase_id")
        zone = string_field(request.fields, "zone")
        vm_class = string_field(request.fields, "class")
        with self._changed:
            vm = self._vms_by_purchase.get(purchase_id)
            status = HTTPStatus.CREATED if vm is None else HTTPStatus.OK
            if vm is None and self._is_refused(zone, vm_class):
                refusal = f"no capacity for {vm_class} in {zone}"
                return error_response(HTTPStatus.CONFLICT, refusal, NOT_RUN)
            if vm is None:
                vm = self._create_vm(purchase_id, zone, vm_class)
                vm["reclaimable"] = bool(request.fields.get("reclaimable", True))
            vm_view = self._refreshed_vm(vm)
        if self.faults.consume("lose_answers"):
            raise DropConnection
        return json_response(vm_view, status)

    def _create_vm(self, purchase_id: str, zone: str, vm_class: str) -> dict[str, Any]:
        name = f"vm-{len(self._vms) + 1}"
        vm = {
            "name": name,
            "incarnation": uuid.uuid4().hex,
            "purchase_id": purchase_id,
            "zone": zone,
            "class": vm_class,
            "state": "starting",
        }
        self._vms[name] = self._vms_by_purchase[purchase_id] = vm
        self._live_at_s[name] = time.monotonic() + self.faults.current.start_s
        return vm

    def _refreshed_vm(self, vm: dict[str, Any]) -> dict[str, Any]:
        live = time.monotonic() >= self._live_at_s[vm["name"]]
        if live and vm["state"] == "starting":
            vm["state"] = "live"
        return dict(vm)

    def _is_refused(self, zone: str, vm_class: str) -> bool:
        offered = any(
            (offer["zone"], offer["class"]) == (zone, vm_class)
            for offer in self._offers
        )
        refused = any(
            refused_pair[0] in (zone, "*") and refused_pair[1] in (vm_class, "*")
            for refused_pair in self.faults.current.refuse
        )
        return refused or not offered

    def _stop_vm(self, name: str) -> Response:
        with self._changed:
            vm = self._vms.get(name)
            if vm is None:
                return error_response(HTTPStatus.NOT_FOUND, f"no VM {name}")
            vm["state"] = "stopped"
            return json_response(vm)

    def _read_notices(self, request: Request) -> Response:
        after = max(0, int(request.query_number("after", 0)))
        wait_s = min(request.query_number("wait_s", 0.0), MAX_WAIT_S)
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._notices) > after or self._closing.is_set(), wait_s
            )
            notices = self._notices[after:]
        return json_response({"notices": notices, "next": after + len(notices)})


if __name__ == "__main__":
    raise SystemExit(cmdline.run("cloud", CloudOptions, Cloud))
