"""Test the decoder of the chunked transfer coding."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass.chunks import ChunkDecoder


def encoded(contents):
    """Encode each content as a chunk and append the last chunk."""
    chunks = [
        b"%x\r\n%b\r\n" % (len(content_part), content_part)
        for content_part in contents
        if content_part
    ]
    return b"".join([*chunks, b"0\r\n\r\n"])


class ChunkDecoderTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.binary(max_size=40)), st.lists(st.integers(0, 400)))
    def test_any_split_of_the_bytes(self, contents, splits):
        """The content must not depend on how the bytes are split into reads."""
        data = encoded(contents)
        decoder = ChunkDecoder()
        offsets = sorted(min(split, len(data)) for split in splits)
        ranges = zip([0, *offsets], [*offsets, len(data)], strict=True)
        decoded = b"".join(decoder.feed(data[start:end]) for start, end in ranges)
        self.assertEqual(b"".join(contents), decoded)
        self.assertTrue(decoder.ended)

    def test_a_truncated_stream_has_not_ended(self):
        """A stream without its last chunk must not look complete."""
        decoder = ChunkDecoder()
        decoder.feed(encoded([b"abc"])[:-2])
        self.assertFalse(decoder.ended)

    def test_malformed_sizes(self):
        """Malformed input must raise instead of being returned as content."""
        for data in (b"zz\r\nab\r\n", b"-1\r\n", b"\r\n", b"2\r\nabcd"):
            self.assertRaises(ValueError, ChunkDecoder().feed, data)
