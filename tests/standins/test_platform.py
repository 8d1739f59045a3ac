"""Tests of the stand-ins for the VM list, the cloud and the weight store."""

import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import testtools
import urllib3

from cicadapass_standins.answers import weights_content
from cicadapass_standins.cloud import Cloud
from cicadapass_standins.exceptions import BadRequest
from cicadapass_standins.vmlist import VmList
from cicadapass_standins.weights import WeightOptions, WeightStore
from tests.standins.support import LONG_POLL_S, TIMEOUT_S, StandinTest

VM = {
    "name": "vm-1",
    "incarnation": "a",
    "data_centre": "dc-a",
    "fleet": "grabhandle",
    "address": "127.0.0.1",
}


class VmListTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        self.vms = VmList(clock=lambda: self.now_s)

    def test_changes_appear_after_the_lag(self):
        """The list must show a change only after `lag_s`."""
        self.vms.faults.merge({"lag_s": 5})
        self.vms.put(VM)
        self.assertEqual((), self.vms.visible_vms())
        self.now_s += 5
        self.assertEqual("live", self.vms.visible_vms()[0]["state"])

    def test_frozen_list_does_not_change(self):
        """A frozen list must keep its state, and show later changes once unfrozen."""
        self.vms.faults.merge({"put": VM, "freeze": True})
        self.vms.put({**VM, "state": "leaving", "deadline_s": 160.0})
        self.assertEqual("live", self.vms.visible_vms()[0]["state"])
        self.vms.faults.merge({"freeze": False})
        self.assertEqual("leaving", self.vms.visible_vms()[0]["state"])

    def test_incomplete_vm_is_refused(self):
        """A VM that lacks a required field must not be added to the list."""
        self.assertRaises(BadRequest, self.vms.put, {"name": "vm-1"})


class CloudTest(StandinTest):
    def setUp(self):
        super().setUp()
        self.cloud = self.serve(Cloud())

    def buy(self, purchase_id: str, zone: str = "zone-a"):
        body = {"purchase_id": purchase_id, "zone": zone, "class": "l4"}
        return self.call("POST", self.cloud.url + "/vms", body)

    def test_repeated_purchase_buys_one_vm(self):
        """A purchase repeated after a lost response must not buy a second VM."""
        self.control(self.cloud, lose_answers=1)
        self.assertRaises(urllib3.exceptions.ProtocolError, self.buy, "p1")
        self.assertEqual(200, self.buy("p1").status)
        self.assertEqual(1, len(self.get(self.cloud.url + "/vms")["vms"]))

    def test_refusal_is_for_its_zone_and_class(self):
        """A refusal for one zone must not affect purchases in another."""
        self.control(self.cloud, refuse=[["zone-a", "*"]])
        statuses = [self.buy("p1").status, self.buy("p2", "zone-b").status]
        self.assertEqual([409, 201], statuses)

    def test_stopped_vm_can_be_stopped_again(self):
        """A repeated stop must succeed; a stop of an unknown VM must return 404."""
        url = f"{self.cloud.url}/vms/{self.buy('p1').json()['name']}"
        statuses = [self.call("DELETE", url).status for _ in range(2)]
        self.assertEqual([200, 200], statuses)
        self.assertEqual(404, self.call("DELETE", url + "0").status)

    def test_notice_reaches_a_waiting_reader(self):
        """A long poll must return a new notice, and only those after its position."""
        url = f"{self.cloud.url}/notices?wait_s={LONG_POLL_S}&after="
        with ThreadPoolExecutor() as pool:
            waiting = pool.submit(self.get, url + "0")
            self.control(self.cloud, notice={"zone": "zone-a", "seconds": 9})
            page = waiting.result()
        self.assertEqual("zone-a", page["notices"][0]["zone"])
        self.control(self.cloud, notice={"vm": "vm-1"})
        later = self.get(url + str(page["next"]))["notices"]
        self.assertEqual(["vm-1"], [notice["vm"] for notice in later])


class WeightStoreTest(StandinTest):
    def test_stop_does_not_wait_for_a_caller_that_does_not_read(self):
        """A connection of a paused node must not block the stop of a stand-in."""
        store = self.serve(WeightStore(WeightOptions(size_bytes=50_000_000)))
        address = urllib3.util.parse_url(store.url)
        with socket.create_connection((address.host, address.port)) as caller:
            caller.sendall(b"GET /weights/parts-1/2 HTTP/1.1\r\nHost: x\r\n\r\n")
            caller.recv(1)
            stopping = threading.Thread(target=store.stop, daemon=True)
            stopping.start()
            stopping.join(TIMEOUT_S)
            self.assertFalse(stopping.is_alive())

    def test_fetch_over_the_rate_is_refused(self):
        """A fetch over the rate must be refused; an admitted one must be complete."""
        store = self.serve(WeightStore(WeightOptions(size_bytes=1000)))
        self.control(store, fetches_per_s=0.001)
        first, second = (
            self.call("GET", store.url + "/weights/parts-1/2") for _ in range(2)
        )
        self.assertEqual(weights_content("parts-1", "2", 1000), first.data)
        self.assertEqual(429, second.status)
