"""Test that access rules see the path that is sent to the upstream."""

import testtools
import urllib3
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass.targets import normalised_target, plain_target

PREFIX = "/v1/services/orders"
# Characters that URL parsers interpret differently.
AMBIGUOUS_PATHS = st.text("/\\.%2eEfF5c?#&;:@ aZ\t\r\n\xe9[]{}|+", max_size=16)


class TargetTest(testtools.TestCase):
    def test_escapes_stay_as_the_caller_sent_them(self):
        """A path that is decoded or encoded twice names another resource."""
        for target in (
            "/stock/a%20b",
            "/stock/a%2Fb",
            "/stock/a+b;c=d",
            "/stock/%C4%AB?q=a%26b&r=%25",
            "/stock//x?",
            "/stock?next=/../payments",
            "/",
        ):
            result = plain_target(PREFIX + target)
            self.assertEqual(("orders", target), result.ok)

    def test_the_case_of_escapes_is_that_of_the_request_line(self):
        """The HTTP client sends upper-case hex digits, so the rules must see those."""
        self.assertEqual("/a%2F%C4", plain_target(PREFIX + "/a%2f%c4").ok[1])

    def test_dot_segments_are_refused(self):
        """The rules would see `/search/../payments`, the upstream `/payments`."""
        for path in (
            "/a/../b",
            "/./a",
            "/a/..",
            "/%2e%2E/b",
            "/a%2f..%2Fb",
            "/a\\..\\b",
        ):
            self.assertEqual(400, plain_target(PREFIX + path).error.status, path)

    def test_unsafe_characters_are_refused(self):
        """Spaces and line ends in a path would split the request line."""
        for path in ("/a b", "/a\rb", "/a\nb", "/a\x00b", "/\xe9", "/a#b", "/a%zz"):
            self.assertEqual(400, plain_target(PREFIX + path).error.status, path)

    def test_an_escaped_prefix_is_not_found(self):
        """An escaped spelling of the prefix must not reach a service."""
        result = plain_target("/v1/%73ervices/orders/a")
        self.assertEqual(404, result.error.status)

    @settings(derandomize=True, deadline=None, max_examples=1000)
    @given(AMBIGUOUS_PATHS)
    def test_the_http_client_changes_nothing(self, rest):
        """The HTTP client must send accepted targets without further normalisation."""
        result = plain_target(f"{PREFIX}/{rest}")
        if result.is_ok():
            target = result.ok[1]
            self.assertEqual(target, normalised_target(target))
            sent = urllib3.util.parse_url("http://127.0.0.1:9/base" + target)
            self.assertEqual("/base" + target, sent.request_uri)
            self.assertEqual(("127.0.0.1", 9), (sent.host, sent.port))
