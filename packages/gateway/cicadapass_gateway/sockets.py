"""Socket options that detect dead connections."""

import asyncio
import fcntl
import select
import socket
import struct
import termios

# A connection is closed if sent data is not acknowledged for this long.
USER_TIMEOUT_MS = 3000
# Keep-alive probes: idle time before the first, interval, and lost probes that close
# the connection.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 3


def watch_connection(transport: asyncio.BaseTransport) -> None:
    """Send small writes at once and let the kernel detect a dead connection."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def ended_by_peer(transport: asyncio.BaseTransport, *, half_closed: bool) -> bool:
    """Return whether the peer has reset a connection that is not read.

    With `half_closed`, also whether the peer has closed its side.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    # Resets are always reported.
    poll.register(sock.fileno(), select.POLLRDHUP if half_closed else 0)
    return bool(poll.poll(0))


def has_untaken_data(transport: asyncio.Transport) -> bool:
    """Return whether the peer's host has not acknowledged all that was written."""
    if transport.get_write_buffer_size():
        return True
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        # Not all sockets have the request.
        return False
    return struct.unpack("i", answer)[0] > 0


def has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Return whether the kernel holds bytes, an end or an error that were not read."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
