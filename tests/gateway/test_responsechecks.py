"""Test which heads of upstreams are taken for answers."""

from cicadapass_gateway.exceptions import AnswerBroken
from cicadapass_gateway.responsechecks import check_head
from tests.gateway.harness import GatewayHarness, LoopTest, _decode_response

SEALED = [(b"x-id", b"r1"), (b"x-seal", b"1")]


class StatusTest(LoopTest):
    def test_statuses_that_http_does_not_have_pass_for_answers(self):
        """A caller got the answer of an engine in trouble, with a status of 000."""

        async def scenario(status):
            async def script(response):
                head = f"HTTP/1.1 {status} X\r\nx-id: r1\r\nx-seal: 1\r\n"
                response.send(f"{head}content-length: 2\r\n\r\nok".encode())
                response.close()

            gateway = await GatewayHarness().start(script)
            return await gateway.call("/unsafe/a", "POST")

        for status in ("000", "0", "099", "600", "999", "1000", "20", "-20"):
            reply = self.run_loop(scenario(status))
            self.assertEqual((502, b""), (reply.status, reply.body), status)

    def test_failures_of_engines_are_forwarded(self):
        """A status within the range counted as invalid."""
        for status in (300, 500, 599):
            check_head(status, _decode_response(status, SEALED), "r1")
        info = _decode_response(600, SEALED)
        self.assertRaises(AnswerBroken, check_head, 600, info, "r1")
