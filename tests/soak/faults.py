"""Random faults of a run, determined by its seed."""

import random
from dataclasses import dataclass

# The kinds of faults with their weights. The part before the first underscore is the
# target. Kinds that end in `_link` disturb a proxy; those of nodes signal or restart a
# process or shift its clock; the others act on the store, the engines or the
# configuration.
KIND_WEIGHTS = {
    "node_term": 4,
    "node_kill": 3,
    "node_pause": 3,
    "node_hup": 2,
    "node_clock": 2,
    "store_link": 4,
    "store_down": 2,
    "store_expired": 1,
    "store_answers_lost": 2,
    "store_lapse": 1,
    "engine_link": 4,
    "engine_drain": 3,
    "engine_crash": 3,
    "engine_rebirth": 2,
    "engine_address_reused": 2,
    "config_change": 3,
    "config_storm": 1,
    "key_dropped": 1,
    "all_killed": 1,
}
# Faults of engines in trouble, drawn apart so that the other faults of a seed stay.
TROUBLE_KINDS = ("prompt_crash", "engine_limit")
# Faults in the answers of engines, drawn apart as well.
ANSWER_KINDS = (
    "engine_silent",
    "engine_stale_refusal",
    "engine_broken_stream",
    "engine_cut_head",
)
# Answers without end, drawn apart as well.
ENDLESS_KINDS = ("engine_endless",)
# What another writer leaves among the engines' entries, drawn apart as well.
ENTRY_KINDS = ("entries_odd",)
# Crowds of clients that send large or unfinished requests, drawn apart as well.
CROWD_KINDS = ("clients_crowd",)
# Orders to move the service to a sound or a bad version, drawn apart as well.
ROLLOUT_KINDS = ("rollout_good", "rollout_bad")
# Returns of the store from an older copy, and what may happen beside them. They are
# drawn alone: what a rollout does over a return is not settled (issue 49).
RETURN_KINDS = (
    "store_returned",
    "store_down",
    "config_change",
    "key_dropped",
    "node_kill",
    "node_term",
    "all_killed",
    "engine_drain",
)
# Time between two of these faults, and how long they last.
RETURN_PAUSE_RANGE_S = (0.5, 3.0)
RETURN_DURATION_RANGE_S = (1.0, 4.0)
# Engines that such a fault affects.
SCOPES = ("one", "third", "all")
ENDLESS_SCOPES = ("one", "third")
# Time between two faults that are drawn apart, and how long they last.
TROUBLE_PAUSE_RANGE_S = (4.0, 12.0)
TROUBLE_DURATION_RANGE_S = (5.0, 9.0)
# Values of proxy.Disturbance that a fault of a link may have.
LINK_KINDS = ("delayed", "reset", "one_way", "silent")
# Traffic without faults, until all nodes know each other.
FIRST_FAULT_S = 5.0
MAX_DURATION_S = 3.5
# Range of the pause between the starts of two faults; shorter than most faults, so
# that they overlap.
PAUSE_RANGE_S = (0.1, 2.0)
# Number of faults of one kind in a series, and the probability of a series.
SERIES_LENGTH = 3
SERIES_CHANCE = 0.2
# Offsets of a node's wall clock.
CLOCK_STEPS_S = (-30.0, -5.0, 5.0, 30.0)


@dataclass(frozen=True, slots=True)
class Fault:
    """Represent one fault; `target_fraction` selects one of the live targets.

    The disturbance is that of a link, or the scope of a fault in engines' answers.
    """

    at_s: float
    kind: str
    target_fraction: float
    duration_s: float
    disturbance: str
    clock_step_s: float


def draw_faults(seed, length_s, only=()):
    """Return the faults of a run, ordered by start; the seed determines them.

    With kinds in `only`, just these are drawn, in place of all those drawn apart.
    """
    if only:
        return _draw_apart(f"answers {seed}", length_s, only, SCOPES)
    rng = random.Random(seed)
    kinds, weights = list(KIND_WEIGHTS), list(KIND_WEIGHTS.values())
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < length_s:
        kind = rng.choices(kinds, weights)[0]
        count = SERIES_LENGTH if rng.random() < SERIES_CHANCE else 1
        for _ in range(count):
            faults.append(
                Fault(
                    at_s=at_s,
                    kind=kind,
                    target_fraction=rng.random(),
                    duration_s=rng.uniform(0.2, MAX_DURATION_S),
                    disturbance=rng.choice(LINK_KINDS),
                    clock_step_s=rng.choice(CLOCK_STEPS_S),
                )
            )
            at_s += rng.uniform(*PAUSE_RANGE_S)
    faults += _draw_apart(f"trouble {seed}", length_s, TROUBLE_KINDS)
    faults += _draw_apart(f"answers {seed}", length_s, ANSWER_KINDS, SCOPES)
    faults += _draw_apart(f"endless {seed}", length_s, ENDLESS_KINDS, ENDLESS_SCOPES)
    faults += _draw_apart(f"entries {seed}", length_s, ENTRY_KINDS)
    faults += _draw_apart(f"crowds {seed}", length_s, CROWD_KINDS)
    # One in a run, as a later one would find the engines of the first one leaving.
    faults += _draw_apart(f"rollouts {seed}", length_s, ROLLOUT_KINDS)[:1]
    return sorted(faults, key=lambda each: each.at_s)


def draw_returns(seed, length_s):
    """Return faults around returns of the store; every third one is a return."""
    rng = random.Random(f"returns {seed}")
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < length_s:
        others = [each for each in RETURN_KINDS if each != "store_returned"]
        is_return = len(faults) % 3 == 0
        faults.append(
            Fault(
                at_s=at_s,
                kind="store_returned" if is_return else rng.choice(others),
                target_fraction=rng.random(),
                duration_s=rng.uniform(*RETURN_DURATION_RANGE_S),
                disturbance=rng.choice(LINK_KINDS),
                clock_step_s=0.0,
            )
        )
        at_s += rng.uniform(*RETURN_PAUSE_RANGE_S)
    return faults


def _draw_apart(seed, length_s, kinds, scopes=()):
    rng = random.Random(seed)
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < length_s:
        faults.append(
            Fault(
                at_s=at_s,
                kind=rng.choice(kinds),
                target_fraction=rng.random(),
                duration_s=rng.uniform(*TROUBLE_DURATION_RANGE_S),
                disturbance=rng.choice(scopes) if scopes else "none",
                clock_step_s=0.0,
            )
        )
        at_s += rng.uniform(*TROUBLE_PAUSE_RANGE_S)
    return faults
