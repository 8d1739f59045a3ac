"""Stand-in for the platform's list of live and leaving VMs, with delayed updates."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cicadapass_standins import cmdline
from cicadapass_standins.exceptions import BadRequest
from cicadapass_standins.faults import FaultControl
from cicadapass_standins.lag import LaggedValue
from cicadapass_standins.server import (
    Request,
    Response,
    json_response,
    not_found_response,
    retry_later_response,
)

REQUIRED_FIELDS = ("name", "incarnation", "data_centre", "fleet", "address")
STATES = ("live", "leaving")


@dataclass(frozen=True)
class VmListFaults:
    """Fault settings of the VM list; a frozen list shows no further changes."""

    lag_s: float = 0.0
    freeze: bool = False
    down: bool = False


class VmList:
    """Keep the VMs and serve the list over HTTP.

    The control address accepts the commands `vms` (replaces all VMs), `put` (adds
    one VM or replaces that of the same name) and `remove` (a VM name).
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        commands: dict[str, Callable[[Any], object]]
        commands = {"vms": self._replace, "put": self.put, "remove": self.remove}
        self.faults = FaultControl(VmListFaults(), commands, self._on_fault)
        self._clock = clock
        self._lock = threading.Lock()
        self._vms: dict[str, dict[str, Any]] = {}
        self._history: LaggedValue[tuple[dict[str, Any], ...]] = LaggedValue(())
        self._frozen: tuple[dict[str, Any], ...] | None = None

    def put(self, vm: dict[str, Any]) -> None:
        """Add a VM or replace it by name; an invalid VM raises `BadRequest`."""
        checked = _validate(vm)
        with self._lock:
            self._vms[checked["name"]] = checked
            self._record()

    def remove(self, name: str) -> None:
        """Remove a VM by name; no effect on an unknown name."""
        with self._lock:
            self._vms.pop(name, None)
            self._record()

    def visible_vms(self) -> tuple[dict[str, Any], ...]:
        """Return the VMs that the list currently shows, after lag and freeze."""
        frozen = self._frozen
        if frozen is not None:
            return frozen
        return self._history.read(self._clock(), self.faults.current.lag_s)

    def handle(self, request: Request) -> Response:
        """Serve `GET /vms`."""
        if (request.method, request.path) != ("GET", "/vms"):
            return not_found_response(request)
        if self.faults.current.down:
            return retry_later_response(503, "the VM list is down")
        return json_response({"vms": self.visible_vms()})

    def close(self) -> None:
        """Do nothing: no request is ever delayed."""

    def _replace(self, vms: list[dict[str, Any]]) -> None:
        checked = [_validate(vm) for vm in vms]
        with self._lock:
            self._vms = {vm["name"]: vm for vm in checked}
            self._record()

    def _record(self) -> None:
        self._history.record(tuple(self._vms.values()), self._clock())

    def _on_fault(self) -> None:
        if not self.faults.current.freeze:
            self._frozen = None
        elif self._frozen is None:
            self._frozen = self.visible_vms()


def _validate(vm: dict[str, Any]) -> dict[str, Any]:
    missing = [name for name in REQUIRED_FIELDS if not isinstance(vm.get(name), str)]
    if missing:
        raise BadRequest(f"missing string fields of the VM: {', '.join(missing)}")
    if vm.get("state", "live") not in STATES:
        raise BadRequest(f"state must be one of {', '.join(STATES)}")
    return {"state": "live", "deadline_s": None, **vm}


if __name__ == "__main__":
    raise SystemExit(cmdline.run("vmlist", cmdline.NoOptions, lambda _: VmList()))
