"""Account for the memory and the connections that callers of a node take."""

import asyncio
import resource
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Protocol

from cicadapass_decisions.memorybudget import (
    BUDGET_FRACTION,
    STALL_S,
    GrantPlan,
    Holding,
    ShedReason,
    Upload,
    choose_evictions,
    has_room,
    largest_request_bytes,
    plan_grants,
)

# Memory of a connection: 7.7 KB after a request, measured with 1,500 of them, and 4 KB
# that it may hold without a reservation.
CONNECTION_BYTES = 12_288
# Part of the budget that connections may take, beside what they reserve: 1,831 of them
# with 200 MB.
CONNECTION_FRACTION = 0.75
# Descriptors reserved for upstreams, peers, the log and the node's own listeners.
RESERVED_DESCRIPTORS = 200
# Progress by less than this does not count, so that single bytes keep nothing open.
PROGRESS_BYTES = 1024
# The rate of an upload is measured over the last one to two windows of this length.
RATE_WINDOW_S = 2.0
# Grants are planned this long after memory was released, for all releases together.
PLAN_DELAY_S = 0.05
# With many connections that hold memory or wait for it, planning is rarer: it takes 12
# microseconds for each on the development machine, 6% of this.
PLAN_DELAY_PER_HOLDING_S = 0.0002
# The first connections are never refused, however small the limits.
MIN_CONNECTIONS = 16


class Connection(Protocol):
    """Represent what a connection does at the decisions on its memory."""

    @property
    def unfinished(self) -> bool:
        """Return whether no complete request has been received."""

    @property
    def unread(self) -> bool:
        """Return whether a complete response was not taken by the caller yet."""

    @property
    def ended_unread(self) -> bool:
        """Return whether the caller has gone while nothing was read."""

    @property
    def has_unread_data(self) -> bool:
        """Return whether the kernel holds data of the caller."""

    @property
    def uploading(self) -> bool:
        """Return whether the head is complete and the body is not."""

    @property
    def missing_bytes(self) -> int:
        """Return the bytes that are reserved and were not received yet."""

    @property
    def time_limit_s(self) -> float:
        """Return the time in which the body should be received."""

    def identify(self) -> tuple[str, bool]:
        """Return the group and whether it is that of a known credential."""

    def grant(self) -> None:
        """Go on reading."""

    def shed(self, reason: ShedReason) -> None:
        """Refuse the unfinished request, and release its memory."""

    def evict(self) -> None:
        """Close the connection at once."""


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limit the bytes and the connections of callers."""

    capacity_bytes: int
    max_connections: int


def budget_limits(memory_mb: float, max_descriptors: int | None) -> BudgetLimits:
    """Return the limits for a VM; without a number, the process's descriptor limit."""
    capacity_bytes = int(memory_mb * 1_000_000 * BUDGET_FRACTION)
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if max_descriptors is not None:
        descriptors = min(descriptors, max_descriptors)
    connections = min(
        descriptors - RESERVED_DESCRIPTORS,
        int(capacity_bytes * CONNECTION_FRACTION / CONNECTION_BYTES),
    )
    return BudgetLimits(capacity_bytes, max(MIN_CONNECTIONS, connections))


@dataclass(eq=False, slots=True)
class MemoryAccount:
    """Store what one connection has reserved; `MemoryBudget` changes it."""

    key: int
    connection: Connection
    progressed_s: float
    # Bytes beyond those of a connection without a request.
    reserved_bytes: int = 0
    # Bytes of responses that the caller has not taken yet.
    response_bytes: int = 0
    # The total that it waits for, and since when.
    wanted_bytes: int | None = None
    waiting_since_s: float = 0.0
    _unmarked_bytes: int = 0
    # The time that the current request took so far, without that in which the node did
    # not read, and the bytes and seconds of the current and the last window.
    _active_s: float = 0.0
    _window_bytes: int = 0
    _window_s: float = 0.0
    _last_bytes: int = 0
    _last_s: float = 0.0
    _counted_to_s: float = 0.0

    def begin_upload(self, now_s: float) -> None:
        """Begin to measure the rate of a request's body."""
        self._active_s = self._window_s = self._last_s = 0.0
        self._window_bytes = self._last_bytes = 0
        self._counted_to_s = now_s

    def describe_upload(
        self, remaining_bytes: int, limit_s: float, now_s: float
    ) -> Upload:
        """Return the progress of a request's body."""
        self._count_time(now_s)
        recent_bytes = self._last_bytes + self._window_bytes
        recent_s = self._last_s + self._window_s
        return Upload(remaining_bytes, self._active_s, limit_s, recent_bytes, recent_s)

    def _count_time(self, now_s: float) -> None:
        # A longer time without data is a stall, or the node was late.
        added_s = min(max(0.0, now_s - self._counted_to_s), STALL_S)
        self._counted_to_s = now_s
        self._active_s += added_s
        self._window_s += added_s
        if self._window_s >= RATE_WINDOW_S:
            self._last_bytes, self._last_s = self._window_bytes, self._window_s
            self._window_bytes, self._window_s = 0, 0.0

    def record_progress(self, received_bytes: int, now_s: float) -> None:
        """Record received bytes; progress is made with each `PROGRESS_BYTES`."""
        self._count_time(now_s)
        self._window_bytes += received_bytes
        self._unmarked_bytes += received_bytes
        if self._unmarked_bytes >= PROGRESS_BYTES:
            self.mark_progress(now_s)

    def mark_progress(self, now_s: float) -> None:
        """Record that the connection is not behind."""
        self._unmarked_bytes = 0
        self._counted_to_s = now_s
        self.progressed_s = now_s


class MemoryBudget:
    """Own the reservations of all connections that share one limit.

    `on_shed` gets the reason, the bytes and the group of each request that is refused
    and of each connection that is closed. `other_bytes` returns what others hold of the
    memory, such as the responses of upstreams that are not complete, and `copied_bytes`
    the part of it that is copies of requests which upstreams have not taken.
    """

    def __init__(
        self,
        limits: BudgetLimits,
        on_shed: Callable[[str, int, str], None] = lambda reason, held, group: None,
        other_bytes: Callable[[], int] = lambda: 0,
        copied_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        self._limits = limits
        self._on_shed = on_shed
        self._other_bytes = other_bytes
        self._copied_bytes = copied_bytes
        self._accounts: dict[int, MemoryAccount] = {}
        self._reserved_bytes = 0
        self._waiting = 0
        self._keys = count()
        self._planned: asyncio.TimerHandle | None = None
        # Connections that the last plan was made for.
        self._planned_holdings = 0

    @property
    def used_bytes(self) -> int:
        """Return the bytes reserved, with those of the connections and of others."""
        connection_bytes = len(self._accounts) * CONNECTION_BYTES
        return self._reserved_bytes + connection_bytes + self._other_bytes()

    @property
    def capacity_bytes(self) -> int:
        """Return the limit of the bytes."""
        return self._limits.capacity_bytes

    @property
    def _is_scarce(self) -> bool:
        return bool(self._waiting) or self.used_bytes > self._limits.capacity_bytes

    @property
    def largest_request_bytes(self) -> int:
        """Return the bytes of the largest request that can be granted."""
        return largest_request_bytes(self._limits.capacity_bytes)

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._accounts)

    @property
    def waiting_count(self) -> int:
        """Return the number of connections that wait for memory."""
        return self._waiting

    def open_account(
        self, connection: Connection, now_s: float
    ) -> MemoryAccount | None:
        """Return the account of a new connection, closing others if necessary.

        Return None if there are too many, all of them with requests in progress.
        """
        if len(self._accounts) >= self._limits.max_connections:
            self._evict_connections(now_s)
        if len(self._accounts) >= self._limits.max_connections:
            self._on_shed("connections", 0, connection.identify()[0])
            return None
        account = MemoryAccount(next(self._keys), connection, now_s)
        self._accounts[account.key] = account
        return account

    def close_account(self, account: MemoryAccount) -> None:
        """Release everything of a connection that has ended."""
        if self._accounts.pop(account.key, None) is None:
            return
        self._stop_waiting(account)
        self._reserved_bytes -= account.reserved_bytes + account.response_bytes
        account.reserved_bytes = account.response_bytes = 0
        self._plan_soon()

    def reserve(self, account: MemoryAccount, total_bytes: int) -> bool:
        """Raise a reservation to a total, if the budget has room for it."""
        added_bytes = total_bytes - account.reserved_bytes
        if added_bytes <= 0:
            return True
        capacity_bytes, copied_bytes = self._limits.capacity_bytes, self._copied_bytes()
        if not has_room(
            total_bytes, added_bytes, self.used_bytes, capacity_bytes, copied_bytes
        ):
            return False
        account.reserved_bytes = total_bytes
        self._reserved_bytes += added_bytes
        return True

    def release(self, account: MemoryAccount, total_bytes: int) -> None:
        """Lower a reservation to a total, and stop waiting for more."""
        self._stop_waiting(account)
        released_bytes = account.reserved_bytes - total_bytes
        if released_bytes <= 0:
            return
        account.reserved_bytes = total_bytes
        self._reserved_bytes -= released_bytes
        self._plan_soon()

    def charge_response(
        self, account: MemoryAccount, unsent_bytes: int, now_s: float
    ) -> None:
        """Set the bytes of a response that are not sent; fewer ones are progress.

        They are not refused, since an upstream has run the request.
        """
        if unsent_bytes < account.response_bytes:
            account.mark_progress(now_s)
        if account.key in self._accounts:
            self._reserved_bytes += unsent_bytes - account.response_bytes
            account.response_bytes = unsent_bytes
            self._plan_soon()

    def wait(self, account: MemoryAccount, total_bytes: int, now_s: float) -> None:
        """Let a connection wait until its reservation is raised to a total."""
        if account.wanted_bytes is None:
            self._waiting += 1
            account.waiting_since_s = now_s
        account.wanted_bytes = total_bytes
        self._plan_soon()

    def plan(self, now_s: float) -> None:
        """Grant and shed as decided; called periodically and after releases."""
        if not self._is_scarce:
            self._planned_holdings = 0
            return
        for account in list(self._accounts.values()):
            if account.wanted_bytes is not None and account.connection.ended_unread:
                self.close_account(account)
                account.connection.evict()
        holdings = [
            self._describe(each, now_s)
            for each in self._accounts.values()
            if each.reserved_bytes
            or each.response_bytes
            or each.wanted_bytes is not None
        ]
        self._planned_holdings = len(holdings)
        plan = plan_grants(
            holdings,
            self.used_bytes,
            self._limits.capacity_bytes,
            self._copied_bytes(),
        )
        self._carry_out(plan, {each.key: each for each in holdings}, now_s)

    def _carry_out(
        self, plan: GrantPlan, holdings: dict[int, Holding], now_s: float
    ) -> None:
        for key, reason in plan.shed:
            holding, account = holdings[key], self._accounts.get(key)
            if account is not None:
                self._on_shed(reason.value, holding.held_bytes, holding.group)
                account.connection.shed(reason)
        for key in plan.granted:
            account = self._accounts.get(key)
            if account is None or account.wanted_bytes is None:
                continue
            if self.reserve(account, account.wanted_bytes):
                self._stop_waiting(account)
                # The time in which it could not read is not held against it.
                account.mark_progress(now_s)
                account.connection.grant()

    def _describe(self, account: MemoryAccount, now_s: float) -> Holding:
        connection, wanted_bytes = account.connection, 0
        if account.wanted_bytes is not None:
            wanted_bytes = max(0, account.wanted_bytes - account.reserved_bytes)
        stalled_s, upload = now_s - account.progressed_s, None
        if connection.uploading and not wanted_bytes:
            missing_bytes, limit_s = connection.missing_bytes, connection.time_limit_s
            upload = account.describe_upload(missing_bytes, limit_s, now_s)
        # A node that was late has not read what arrived meanwhile.
        is_behind = stalled_s >= STALL_S or (upload is not None and upload.is_late)
        if is_behind and connection.has_unread_data:
            stalled_s, upload = 0.0, None
        group, known = connection.identify()
        return Holding(
            key=account.key,
            group=group,
            known=known,
            held_bytes=account.reserved_bytes + account.response_bytes,
            wanted_bytes=wanted_bytes,
            waited_s=now_s - account.waiting_since_s if wanted_bytes else 0.0,
            stalled_s=stalled_s,
            unfinished=connection.unfinished,
            unread=connection.unread,
            upload=upload,
        )

    def _evict_connections(self, now_s: float) -> None:
        candidates = [
            (each.key, now_s - each.progressed_s)
            for each in self._accounts.values()
            if each.connection.unfinished
        ]
        limit = self._limits.max_connections
        groups: Counter[str] = Counter()
        for key in choose_evictions(candidates, limit):
            account = self._accounts[key]
            groups[account.connection.identify()[0]] += 1
            self.close_account(account)
            account.connection.evict()
        for group, number in groups.items():
            for _ in range(number):
                self._on_shed("connections", 0, group)

    def _stop_waiting(self, account: MemoryAccount) -> None:
        if account.wanted_bytes is not None:
            account.wanted_bytes = None
            self._waiting -= 1

    def _plan_soon(self) -> None:
        if self._is_scarce and self._planned is None:
            loop = asyncio.get_running_loop()
            scaled_s = self._planned_holdings * PLAN_DELAY_PER_HOLDING_S
            delay_s = max(PLAN_DELAY_S, scaled_s)
            self._planned = loop.call_later(delay_s, self._run_planned)

    def _run_planned(self) -> None:
        self._planned = None
        self.plan(asyncio.get_running_loop().time())
