"""Helpers for tests with several member nodes on a simulated clock."""

import random
import threading

from expression import Ok

from cicadapass import members
from cicadapass.membermessages import (
    ListedVm,
    MemberCallbacks,
    MembersDependencies,
    ProbeTick,
)
from cicadapass.members import Members
from cicadapass.membersnapshot import CurrentMembers
from cicadapass.supervisor import (
    ComponentRef,
    StartComponent,
    StopComponents,
    Supervisor,
)
from cicadapass.timers import TimerService
from tests.node.peerharness import Node

# Each step lets this much real time pass, so that messages arrive.
STEP_WAIT_S = 0.03
MAX_STEPS = 400


class Clock:
    """Provide a time that only the test advances."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        """Return the simulated time in seconds."""
        return self.now_s


class Member(Node):
    """Run the peers and the members component of one node."""

    def __init__(self, test, own, clock, listed=(), seeds=(), register=(), **settings):
        self.component = ComponentRef("members")
        self.gone, self.marked, self.declared = [], [], []
        self.when_gone = lambda vm: None
        self.listed = list(listed)
        self.read_vm_list = lambda: Ok(tuple(self.listed))
        self.register = [*register, members.register]
        super().__init__(test, own, **settings)
        self.current_members = CurrentMembers(self.address)
        self.timers = TimerService(clock)
        self.config = MembersDependencies(
            self.peers,
            self.timers,
            self.events,
            self.current_members,
            lambda: self.read_vm_list(),
            random.Random(own.name),
            tuple(seeds),
            MemberCallbacks(
                self._on_gone,
                self.marked.extend,
                lambda: self.declared.append(True),
            ),
            clock,
        )
        self.supervisor = Supervisor.start(self.events, lambda: None)
        test.addCleanup(self.supervisor.stop)
        test.addCleanup(self.supervisor.ask, StopComponents())
        self.supervisor.ask(StartComponent("members", self._start_component))

    def before_start(self):
        """Register the handlers of the components."""
        for register in self.register:
            register(self.peers, self.component)

    def _on_gone(self, vm):
        self.gone.append(vm)
        self.when_gone(vm)

    def _start_component(self):
        ref = Members.start(self.supervisor, self.config)
        self.component.bind(ref)
        return ref

    def state_of(self, other):
        """Return the state of another member, or None if it is unknown."""
        entry = self.current_members.snapshot.by_vm.get(other.vm)
        return entry and entry.state

    def round(self):
        """Run one probe round and wait for its end."""
        self.component.ask(ProbeTick(), 20.0)


class Cluster:
    """Advance some members together."""

    def __init__(self, *nodes):
        self.nodes = list(nodes)
        self.clock = nodes[0].config.clock
        self._pause = threading.Event()

    def introduce(self):
        """Put all nodes into the VM list of each."""
        listed = [ListedVm(node.address.vm, False, node.address) for node in self.nodes]
        for node in self.nodes:
            node.listed[:] = listed

    def step(self, seconds=1.0):
        """Advance the clock, run due timers and wait for messages to arrive."""
        self.clock.now_s += seconds
        for node in self.nodes:
            node.timers.run_due()
        self._pause.wait(STEP_WAIT_S)

    def run_until(self, predicate):
        """Step until the predicate is true; fail after `MAX_STEPS` steps."""
        for _ in range(MAX_STEPS):
            if predicate():
                return
            self.step()
        raise AssertionError(f"not true after {MAX_STEPS} steps")
