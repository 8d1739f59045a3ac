"""Tests of the plain service stand-in."""

from concurrent.futures import ThreadPoolExecutor

import urllib3

from cicadapass_standins.answers import service_answer
from cicadapass_standins.service import Service
from tests.standins.support import StandinTest


class ServiceTest(StandinTest):
    def setUp(self):
        super().setUp()
        self.service = self.serve(Service())
        self.url = self.service.url + "/payments?order=7"

    def pay(self, amount: int = 1, **headers: str):
        return self.call("POST", self.url, b"%d" % amount, **headers)

    def effects(self) -> int:
        return len(self.get(self.service.url + "/ledger")["effects"])

    def test_answer_is_a_function_of_the_call(self):
        """Tests must be able to match each answer to its call."""
        expected = service_answer("POST", "/payments?order=7", b"1")
        self.assertEqual(expected, self.pay(1).data)
        self.assertNotEqual(expected, self.pay(2).data)

    def test_reads_have_no_effect(self):
        """A call with a safe method must not be recorded as an effect."""
        self.assertEqual(200, self.call("GET", self.url).status)
        self.assertEqual(0, self.effects())

    def test_idempotency_key_takes_effect_once(self):
        """A repeated key must replay the first answer, also in concurrent calls."""
        with ThreadPoolExecutor() as pool:
            calls = [pool.submit(self.pay, Idempotency_Key="k") for _ in range(8)]
            bodies = {call.result().data for call in calls}
        self.assertEqual((1, 1), (len(bodies), self.effects()))
        self.assertEqual(422, self.pay(2, Idempotency_Key="k").status)

    def test_key_without_deduplication_takes_effect_again(self):
        """With deduplication off, the ledger must show the repeated effect."""
        self.control(self.service, deduplicate=False)
        for _ in range(2):
            self.pay(Idempotency_Key="k")
        self.assertEqual(2, self.effects())

    def test_connection_closes_before_or_after_the_effect(self):
        """A closed connection must leave open whether the call took effect."""
        for fault, effects in (("close_before", 0), ("close_after", 1)):
            self.control(self.service, **{fault: 1})
            self.assertRaises(urllib3.exceptions.ProtocolError, self.pay)
            self.assertEqual(effects, self.effects())

    def test_refusal_carries_the_not_run_header(self):
        """A refused call must have no effect and carry Cicadapass-Not-Run."""
        self.control(self.service, refuse_next=1)
        response = self.pay()
        self.assertEqual(503, response.status)
        self.assertEqual("1", response.headers["Cicadapass-Not-Run"])
        self.assertEqual((200, 1), (self.pay().status, self.effects()))
