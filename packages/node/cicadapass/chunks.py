"""Decode the chunked transfer coding of HTTP/1.1 (RFC 9112, 7.1)."""

# Engines send small chunks; more pending bytes mean a malformed stream.
MAX_PENDING_BYTES = 4 * 2**20
LINE_END = b"\r\n"


class ChunkDecoder:
    """Decode chunks incrementally; a chunk is returned once it is complete."""

    def __init__(self) -> None:
        self._pending = b""
        self._ended = False

    @property
    def ended(self) -> bool:
        """Return whether the last chunk and the empty line after it were decoded."""
        return self._ended

    def feed(self, data: bytes) -> bytes:
        """Return the content of the chunks that `data` completes.

        Raises ValueError if the coding is malformed or a chunk exceeds
        MAX_PENDING_BYTES.
        """
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
                # This also rejects trailers, which engines do not send.
                raise ValueError("chunk data is not followed by CRLF")
            contents.append(buffer[start:end])
            position = end + 2
            self._ended = size == 0
        self._pending = buffer[position:]
        if len(self._pending) > MAX_PENDING_BYTES:
            raise ValueError(f"chunk is larger than {MAX_PENDING_BYTES} bytes")
        return contents[0] if len(contents) == 1 else b"".join(contents)


def _parse_size(line: bytes) -> int:
    digits = line.partition(b";")[0].strip()
    if not digits or digits[:1] in b"+-":
        raise ValueError("chunk size is missing")
    return int(digits, 16)
