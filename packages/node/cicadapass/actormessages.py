"""Sending of messages to actors that may have stopped."""

from typing import Any

import pykka


def tell_if_alive(ref: pykka.ActorRef[Any], message: object) -> None:
    """Send the message; drop it if the actor has stopped.

    For an actor's own timers and threads: a restarted actor starts new ones, so the
    messages of the old ones are not needed.
    """
    try:
        ref.tell(message)
    except pykka.ActorDeadError:
        return
