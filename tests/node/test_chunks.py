"""Test the decoder of the chunked transfer coding."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass.chunks import ChunkDecoder


def encoded(parts):
    """Return the chunks of the parts with the last chunk."""
    chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts if part]
    return b"".join([*chunks, b"0\r\n\r\n"])


class ChunkDecoderTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.binary(max_size=40)), st.lists(st.integers(0, 400)))
    def test_any_cut_of_the_bytes(self, parts, cuts):
        """Bytes that arrive cut at any place must give the same content."""
        data = encoded(parts)
        decoder = ChunkDecoder()
        ends = sorted(min(cut, len(data)) for cut in cuts)
        places = zip([0, *ends], [*ends, len(data)], strict=True)
        content = b"".join(decoder.feed(data[begin:end]) for begin, end in places)
        self.assertEqual(b"".join(parts), content)
        self.assertTrue(decoder.ended)

    def test_a_cut_stream_has_not_ended(self):
        """A stream without its last chunk must not look complete."""
        decoder = ChunkDecoder()
        decoder.feed(encoded([b"abc"])[:-2])
        self.assertFalse(decoder.ended)

    def test_malformed_sizes(self):
        """Garbage must be an error, not content."""
        for data in (b"zz\r\nab\r\n", b"-1\r\n", b"\r\n", b"2\r\nabcd"):
            self.assertRaises(ValueError, ChunkDecoder().feed, data)
