"""Messages to actors that may have been replaced."""

from typing import Any

import pykka


def tell_if_alive(ref: pykka.ActorRef[Any], message: object) -> None:
    """Send the message; drop it if the actor has stopped.

    For timers and threads that belong to an actor: its restarted successor
    subscribes and asks again.
    """
    try:
        ref.tell(message)
    except pykka.ActorDeadError:
        return
