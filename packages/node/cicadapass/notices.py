"""Reader of the cloud's reclaim notices."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from cicadapass.platformclient import Notice, PlatformClient

RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class NoticeTarget:
    """Identify the VM and the zone of this node; the zone is its data centre.

    Both names are qualified by the fleet, since fleets may use the same names.
    """

    vm: str
    zone: str


class NoticeReader:
    """Read notices in a thread and call `on_notice` for each.

    The cloud still lists notices whose deadline has passed. Those with a deadline
    before the reader was created are skipped: they reclaimed earlier VMs of the zone,
    and a replacement VM must not stop because of them.
    """

    def __init__(
        self,
        platform: PlatformClient,
        on_notice: Callable[[Notice], object],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._platform = platform
        self._on_notice = on_notice
        self._created_s = wall_clock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="notices", daemon=True)

    def start(self) -> None:
        """Start the reader thread; it starts at the oldest listed notice."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread after its current read."""
        self._stopped.set()

    def _run(self) -> None:
        after = 0
        while not self._stopped.is_set():
            page = self._platform.read_notices(after)
            if page.is_error():
                self._stopped.wait(RETRY_S)
                continue
            after = page.ok.next_sequence
            for notice in page.ok.notices:
                if notice.deadline_s > self._created_s:
                    self._on_notice(notice)


def applies_to(notice: Notice, target: NoticeTarget) -> bool:
    """Return whether the notice reclaims this VM or its zone."""
    return notice.vm == target.vm or notice.zone == target.zone
