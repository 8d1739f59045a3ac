"""HTTP client of the platform's VM list and the cloud's reclaim notices."""

import time
from dataclasses import dataclass
from typing import Any

import urllib3
from expression import Error, Ok, Result

from cicadapass.membermessages import ListedVm
from cicadapass_common.exceptions import CicadapassError
from cicadapass_decisions.types import NodeAddress, VmId, qualify

LIST_TIMEOUT_S = 2.0
NOTICE_WAIT_S = 10.0
LEAVING_STATE = "leaving"
# Entry VMs run a node; the list also has upstream VMs, which do not.
ENTRY_KIND = "entry"


class PlatformError(CicadapassError):
    """Report that the platform gave no usable answer."""


@dataclass(frozen=True, slots=True)
class Notice:
    """Represent a reclaim notice for a zone or one VM; the deadline is Unix time."""

    sequence: int
    zone: str | None
    vm: str | None
    deadline_s: float


@dataclass(frozen=True, slots=True)
class NoticePage:
    """Represent a page of notices and the sequence number to continue from."""

    notices: tuple[Notice, ...]
    next_sequence: int


class PlatformClient:
    """Read the VM list and the notices; safe to share between threads."""

    def __init__(self, vm_list_url: str | None, notices_url: str | None) -> None:
        self._vm_list_url = vm_list_url
        self._notices_url = notices_url
        self._pool = urllib3.PoolManager(maxsize=2, retries=False)

    def read_vm_list(self) -> Result[tuple[ListedVm, ...], CicadapassError]:
        """Return the listed VMs, or none if no URL is set."""
        if self._vm_list_url is None:
            return Ok(())
        document = self._get(f"{self._vm_list_url}/vms", LIST_TIMEOUT_S)
        return document.bind(_parse_vms)

    def read_notices(self, after: int) -> Result[NoticePage, CicadapassError]:
        """Wait up to `NOTICE_WAIT_S` for notices after a sequence number."""
        if self._notices_url is None:
            return Error(PlatformError("no notices URL is set", "set notices_url"))
        url = f"{self._notices_url}/notices?after={after}&wait_s={NOTICE_WAIT_S}"
        return self._get(url, NOTICE_WAIT_S + LIST_TIMEOUT_S).bind(_parse_notices)

    def _get(
        self, url: str, timeout_s: float
    ) -> Result[dict[str, Any], CicadapassError]:
        try:
            response = self._pool.request("GET", url, timeout=timeout_s)
            document = response.json()
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return Error(PlatformError(f"{url}: {error}", "check the platform"))
        if response.status != 200 or not isinstance(document, dict):
            problem = f"{url} answered {response.status}"
            return Error(PlatformError(problem, "check the platform"))
        return Ok(document)


def _parse_vms(
    document: dict[str, Any],
) -> Result[tuple[ListedVm, ...], CicadapassError]:
    try:
        return Ok(tuple(_parse_vm(entry) for entry in document["vms"]))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Error(_malformed("VM list", error))


def _parse_vm(entry: dict[str, Any]) -> ListedVm:
    # Fleets may use the same VM names.
    name = qualify(entry["fleet"], entry["name"])
    vm = VmId(name, str(entry["incarnation"]))
    return ListedVm(vm, entry["state"] == LEAVING_STATE, _parse_node(entry, vm))


def _parse_node(entry: dict[str, Any], vm: VmId) -> NodeAddress | None:
    """Return the address of the VM's node, or None if it runs none."""
    host, _, port = str(entry.get("address") or "").rpartition(":")
    if entry.get("kind") != ENTRY_KIND or not host or not port.isdigit():
        return None
    return NodeAddress(
        vm.name,
        vm.incarnation,
        entry["fleet"],
        entry["data_centre"],
        host,
        int(port),
    )


def _parse_notices(document: dict[str, Any]) -> Result[NoticePage, CicadapassError]:
    try:
        notices = tuple(_parse_notice(entry) for entry in document["notices"])
        return Ok(NoticePage(notices, int(document["next"])))
    except (KeyError, TypeError, ValueError) as error:
        return Error(_malformed("notices", error))


def _parse_notice(entry: dict[str, Any]) -> Notice:
    return Notice(
        int(entry["sequence"]),
        entry.get("zone"),
        entry.get("vm"),
        float(entry["deadline_s"]),
    )


def _malformed(document_name: str, error: Exception) -> PlatformError:
    return PlatformError(
        f"{document_name} is malformed: {error!r}", "check the platform"
    )


def seconds_until(deadline_s: float) -> float:
    """Return the seconds until a deadline in Unix time, at least zero."""
    return max(0.0, deadline_s - time.time())
