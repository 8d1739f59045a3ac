"""Test that nodes follow a store that returns from an older copy."""

import asyncio

from cicadapass_gateway.config import Address
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_platform.store import ApiClient, Store
from tests.gateway.harness import HOST, LoopTest, until
from tests.gateway.test_registrysync import Node
from tests.platform.storestandin import StoreStandin

CONFIGURATION = "configuration"
# The platform allows 2 s; the rest is for a machine under load.
TEST_TIMEOUT_S = 12.0


class StoreReturnTest(LoopTest):
    timeout_s = TEST_TIMEOUT_S

    async def start(self):
        """Start a store and a node that follows it."""
        self.standin = StoreStandin()
        address = await self.standin.start()
        port = int(address.rpartition(":")[2])
        store = Store(ApiClient(Address(HOST, port), ClientPool()))
        self.registry = self.standin.registry
        self.registry.era_number = 1
        self.publish(1)
        return Node(store).start()

    def publish(self, version):
        """Write a configuration as the operator does."""
        self.registry.put(CONFIGURATION, "config", str(version).encode())

    def test_a_configuration_behind_reissued_offsets_is_read(self):
        """The store lost two versions; the next one was never read.

        The operator wrote the newest of them again and then the next, before the node
        read again: its offset existed, so neither a 410 nor a record told it.
        """

        async def scenario():
            node = await self.start()
            await until(lambda: node.state.version == 1)
            copy = self.registry.copy()
            for version in (2, 3):
                self.publish(version)
                await until(lambda wanted=version: node.state.version == wanted)
            self.registry.down = True
            await asyncio.sleep(0)
            self.registry.return_from(copy)
            self.publish(3)
            self.publish(4)
            self.registry.down = False
            await until(lambda: node.state.version == 4)

        self.run_loop(scenario())
