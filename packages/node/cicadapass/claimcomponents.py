"""Construction of the node's claim handling: component, client and keyed calls."""

import os
from typing import Any

import pykka

from cicadapass.claimclient import ClaimClient, ClaimDependencies
from cicadapass.claimlog import ClaimLog
from cicadapass.claims import ClaimBatcher, ClaimsComponent
from cicadapass.cluster import Cluster
from cicadapass.componentrunner import ComponentRunner
from cicadapass.config import NodeSettings
from cicadapass.configview import ConfigView
from cicadapass.keyedcalls import KeyedCalls, KeyedDependencies
from cicadapass.outcomes import Outcomes
from cicadapass.supervisor import ComponentRef, Supervisor
from cicadapass.timers import TimerService
from cicadapass_common.events import EventLog
from cicadapass_common.logclient import LogClient
from cicadapass_decisions.issuedkeys import IssuedKeys
from cicadapass_decisions.rule_sections import ClaimRules

SECRET_BYTES = 32
MAX_ISSUED_KEYS = 100_000


class ClaimComponents:
    """Own the claims component, which starts with the first inventory's rules."""

    def __init__(
        self,
        settings: NodeSettings,
        supervisor: pykka.ActorRef[Supervisor],
        events: EventLog,
        timers: TimerService,
        cluster: Cluster,
    ) -> None:
        self._settings = settings
        self._supervisor = supervisor
        self._events = events
        self._timers = timers
        self._cluster = cluster
        self._component = ComponentRef("claims")
        self._rules = ClaimRules()
        self._started = False
        self._secret = os.urandom(SECRET_BYTES)
        claims = ClaimClient(
            ClaimDependencies(
                self._component,
                ClaimBatcher(self._component),
                cluster.peers,
                cluster.current_members,
            )
        )
        claims.register()
        self.keyed = KeyedCalls(
            KeyedDependencies(
                claims,
                Outcomes(lambda: self._rules.window_s),
                cluster.peers,
                cluster.current_members,
                lambda: self._rules.claims,
            )
        )
        self.keyed.register()

    def on_config(self, view: ConfigView, runner: ComponentRunner) -> None:
        """Apply the rules; a changed window restarts the component with a new index."""
        rules = view.inventory.rules.of(ClaimRules)
        changed = rules.window_s != self._rules.window_s
        self._rules = rules
        if changed or not self._started:
            self._started = True
            self._component.stop()
            runner.supervise(self._component, self._start_component)

    def _start_component(self) -> pykka.ActorRef[Any]:
        settings = self._settings
        window_s = self._rules.window_s
        claim_log = ClaimLog(
            LogClient(settings.log_url, settings.claim_stream),
            self._events,
            window_s,
            settings.log_retention_s,
            settings.max_claims,
        )
        local = self._cluster.peers.address
        issued_keys = IssuedKeys(
            local.name, local.incarnation, self._secret, window_s, MAX_ISSUED_KEYS
        )
        return ClaimsComponent.start(
            self._supervisor, self._component.name, claim_log, issued_keys, self._timers
        )
