"""Construction of the configuration feed and of its exchange with peers."""

import random
from collections.abc import Callable
from typing import Any

import pykka

from cicadapass.cluster import Cluster
from cicadapass.componentrunner import ComponentRunner
from cicadapass.config import NodeSettings
from cicadapass.configexchange import ConfigExchange
from cicadapass.configfeed import ConfigFeed
from cicadapass.configmessages import ConfigFeedDependencies
from cicadapass.configview import ConfigView, CurrentConfig
from cicadapass.supervisor import ComponentRef, Supervisor
from cicadapass.timers import TimerService
from cicadapass_common.events import EventLog
from cicadapass_common.logclient import LogClient
from cicadapass_common.operator_api import PublishAnswer, PublishBody
from cicadapass_common.publish import (
    PublishAccepted,
    PublishConflict,
    PublishDependencies,
    PublishRejected,
    PublishResult,
    PublishUnknown,
    publish,
)
from cicadapass_decisions.inventory import EMPTY_INVENTORY, parse_inventory
from cicadapass_decisions.inventorydiff import diff_inventories
from cicadapass_decisions.logrecords import Publish


class ConfigComponents:
    """Own the configuration feed, and publish documents for operators."""

    def __init__(
        self,
        settings: NodeSettings,
        supervisor: pykka.ActorRef[Supervisor],
        events: EventLog,
        timers: TimerService,
        current_config: CurrentConfig,
        cluster: Cluster,
        on_change: Callable[[ConfigView], None],
        rng: random.Random,
    ) -> None:
        self._supervisor = supervisor
        self._current_config = current_config
        self._feed = ComponentRef("configfeed")
        self._log = LogClient(settings.log_url, settings.log_stream)
        self.exchange = ConfigExchange(
            self._feed, cluster.peers, cluster.current_members
        )
        self.exchange.register()
        self._feed_dependencies = ConfigFeedDependencies(
            log=self._log,
            parse=parse_inventory,
            events=events,
            timers=timers,
            fetch_from_peer=self.exchange.fetch,
            on_change=on_change,
            retention_s=settings.log_retention_s,
            rng=rng,
        )

    def start(self, runner: ComponentRunner) -> None:
        """Start the feed, which follows the log, under the supervisor."""
        runner.supervise(self._feed, self._start_feed)

    def publish(self, body: PublishBody) -> PublishAnswer:
        """Publish a document for an operator, with the checks of the command line."""
        dependencies = PublishDependencies(self._log, parse_inventory, _describe_change)
        request = Publish(body.publish_id, body.base_offset, body.author, body.document)
        state = self._current_config.state
        base = state.document if state.version == body.base_offset else None
        return _to_answer(publish(dependencies, request, state, base))

    def _start_feed(self) -> pykka.ActorRef[Any]:
        return ConfigFeed.start(
            self._supervisor,
            self._feed.name,
            self._feed_dependencies,
            self._current_config,
        )


def _describe_change(base: Any, winner: Any) -> tuple[str, ...]:
    inventories = [_parse_or_empty(document) for document in (base, winner)]
    return tuple(str(change) for change in diff_inventories(*inventories))


def _parse_or_empty(document: Any) -> Any:
    return EMPTY_INVENTORY if document is None else parse_inventory(document).ok


def _to_answer(result: PublishResult) -> PublishAnswer:
    match result:
        case PublishAccepted(version):
            return PublishAnswer("accepted", version)
        case PublishRejected(problems):
            return PublishAnswer("rejected", details=tuple(map(str, problems)))
        case PublishConflict(_, author, version, change):
            conflict_details = (f"{author} published first", *change)
            return PublishAnswer("conflict", version, conflict_details)
        case PublishUnknown(reason, may_have_taken_effect):
            effect = "may have been" if may_have_taken_effect else "was not"
            return PublishAnswer(
                "unknown", details=(reason, f"the document {effect} appended")
            )
