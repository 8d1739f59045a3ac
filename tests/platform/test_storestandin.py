"""Test that the stand-in of the store refuses calls as the platform does."""

from cicadapass_decisions.logposition import make_position
from cicadapass_gateway.config import Address
from cicadapass_gateway.exceptions import (
    HistoryExpired,
    OffsetConflict,
    PlatformRefused,
)
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_platform.store import ApiClient, Store
from tests.gateway.harness import HOST, LoopTest
from tests.platform.storestandin import StoreStandin


async def started_store():
    """Return a stand-in and a client of it."""
    standin = StoreStandin()
    address = await standin.start()
    port = int(address.rpartition(":")[2])
    return standin, Store(ApiClient(Address(HOST, port), ClientPool()))


class StoreStandinTest(LoopTest):
    def test_expired_records_differ_from_an_outage(self):
        """Nodes that were behind took expired records for an outage, for ever."""

        async def scenario():
            standin, store = await started_store()
            standin.registry.put("t", "k", b"v")
            standin.registry.first_offsets["t"] = 1
            with self.assertRaises(HistoryExpired):
                await store.changes("t", 0, 0.0)
            standin.registry.down = True
            with self.assertRaises(PlatformRefused):
                await store.changes("t", 0, 0.0)

        self.run_loop(scenario())

    def test_every_answer_names_the_era(self):
        """A node learned of the return of the store only by an answer with records."""

        async def scenario():
            standin, store = await started_store()
            await store.newest("t")
            self.assertEqual(0, store.era.value)
            standin.registry.return_from({})
            standin.registry.down = True
            with self.assertRaises(PlatformRefused):
                await store.newest("t")
            self.assertEqual(1, store.era.value)
            standin.registry.return_from({})
            standin.registry.down = False
            with self.assertRaises(OffsetConflict):
                await store.append("t", "k", b"v", make_position(1, 7))
            self.assertEqual(2, store.era.value)

        self.run_loop(scenario())

    def test_a_malformed_era_changes_nothing(self):
        """A store whose header could not be read was taken for one that went back."""

        async def scenario():
            standin, store = await started_store()
            standin.registry.return_from({})
            odd = []
            store.era.subscribe(lambda *_: None, lambda text, _: odd.append(text))
            for text in ("1", "x", "-2", "1e3", "9" * 30, "0"):
                standin.odd_era = text
                await store.newest("t")
            self.assertEqual(1, store.era.value)
            self.assertEqual(["x", "-2", "1e3", "9" * 30, "0"], odd)

        self.run_loop(scenario())
