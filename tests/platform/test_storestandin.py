"""Test that the stand-in of the store refuses calls as the platform does."""

from cicadapass_gateway.config import Address
from cicadapass_gateway.exceptions import HistoryExpired, PlatformRefused
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_platform.store import ApiClient, Store
from tests.gateway.harness import HOST, LoopTest
from tests.platform.storestandin import StoreStandin


class StoreStandinTest(LoopTest):
    def test_expired_records_differ_from_an_outage(self):
        """Nodes that were behind took expired records for an outage, for ever."""

        async def scenario():
            standin = StoreStandin()
            address = await standin.start()
            port = int(address.rpartition(":")[2])
            store = Store(ApiClient(Address(HOST, port), ClientPool()))
            standin.registry.put("t", "k", b"v")
            standin.registry.first_offsets["t"] = 1
            with self.assertRaises(HistoryExpired):
                await store.changes("t", 0, 0.0)
            standin.registry.down = True
            with self.assertRaises(PlatformRefused):
                await store.changes("t", 0, 0.0)

        self.run_loop(scenario())
