"""Decode the chunked transfer coding of HTTP/1.1 (RFC 9112, 7.1)."""

# Engines send small chunks; more pending bytes mean a malformed stream.
MAX_PENDING_BYTES = 4 * 2**20
LINE_END = b"\r\n"


class ChunkDecoder:
    """Take bytes as they arrive and give the content of complete chunks."""

    def __init__(self) -> None:
        self._pending = b""
        self._ended = False

    @property
    def ended(self) -> bool:
        """Return whether the last chunk and its empty line have arrived."""
        return self._ended

    def feed(self, data: bytes) -> bytes:
        """Return the content that is complete; raise ValueError if malformed."""
        buffer = self._pending + data if self._pending else data
        contents = []
        position = 0
        while not self._ended:
            line_end = buffer.find(LINE_END, position)
            if line_end < 0:
                break
            start = line_end + 2
            size = _parse_size(buffer[position:line_end])
            end = start + size
            if len(buffer) < end + 2:
                break
            if buffer[end : end + 2] != LINE_END:
                # Trailers are not used by engines.
                raise ValueError("a chunk does not end with a line end")
            contents.append(buffer[start:end])
            position = end + 2
            self._ended = size == 0
        self._pending = buffer[position:]
        if len(self._pending) > MAX_PENDING_BYTES:
            raise ValueError("a chunk is too large")
        return contents[0] if len(contents) == 1 else b"".join(contents)


def _parse_size(line: bytes) -> int:
    digits = line.partition(b";")[0].strip()
    if not digits or digits[:1] in b"+-":
        raise ValueError("a chunk has no size")
    return int(digits, 16)
