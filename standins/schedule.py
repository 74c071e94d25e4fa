"""The schedule of a load: which request is sent by whom, to which daemon and when."""

from typing import Literal, NamedTuple

from bronzerelay.runtime import Random

SECOND_MS = 1000
TRANSACTION = "transaction"


class LoadSettings(NamedTuple):
    """The settings of a load; shares are fractions between 0 and 1.

    `rates` holds the requests per second of each workspace. `once_share` of the writes
    must not be repeated; the others are sent again with the same idempotency key when
    their outcome is unknown, at most `resends` times. `transaction_share` of the writes
    are transactions of two appends. `age_share` of the reads accept data up to
    `max_age_ms` old. With the spread `one`, all requests of a workspace go to one
    daemon; with `moving`, to another daemon every `move_ms`. `label` is part of the
    names of rows and sessions. Two loads on one deployment need different labels, or
    each would read values that only the other's record explains.
    """

    rates: dict[str, float]
    groups: tuple[str, ...]
    seed: int
    label: str = "load"
    duration_ms: int = 5000
    write_share: float = 0.1
    once_share: float = 0.2
    add_share: float = 0.2
    transaction_share: float = 0.0
    age_share: float = 0.0
    max_age_ms: int = 1000
    rows: int = 20
    spread: Literal["random", "one", "moving"] = "random"
    move_ms: int = 1000
    arrivals: Literal["poisson", "even"] = "poisson"
    workers: int = 200
    resends: int = 2
    deadline_ms: int = 0
    timeout_ms: int = 10_000


class Arrival(NamedTuple):
    """A request of the schedule; `due_ms` counts from the start of the load.

    The verb `transaction` stands for a whole transaction that appends to two rows.
    """

    due_ms: float
    workspace: str
    daemon: str
    group: str
    row: str
    verb: str
    repeatable: bool
    accepts_age: bool


def build_schedule(
    draw: Random, settings: LoadSettings, daemons: list[str]
) -> list[Arrival]:
    """Return all arrivals, ordered by time; the same seed gives the same arrivals."""
    arrivals = []
    for workspace, rate in sorted(settings.rates.items()):
        shuffled_daemons = draw.sample(daemons, len(daemons))
        for due_ms in list_times(draw, settings, rate):
            daemon = pick_daemon(draw, settings, shuffled_daemons, due_ms)
            arrivals.append(draw_arrival(draw, settings, workspace, daemon, due_ms))
    return sorted(arrivals)


def list_times(draw: Random, settings: LoadSettings, rate: float) -> list[float]:
    """Return the times at which a workspace's requests are due."""
    if rate <= 0:
        return []
    gap_ms = SECOND_MS / rate
    times = []
    due_ms = draw.uniform(0, gap_ms)
    while due_ms < settings.duration_ms:
        times.append(due_ms)
        due_ms += (
            gap_ms if settings.arrivals == "even" else draw.expovariate(1 / gap_ms)
        )
    return times


def pick_daemon(
    draw: Random, settings: LoadSettings, shuffled_daemons: list[str], due_ms: float
) -> str:
    """Return the daemon that a request goes to."""
    if settings.spread == "one":
        return shuffled_daemons[0]
    if settings.spread == "moving":
        return shuffled_daemons[int(due_ms // settings.move_ms) % len(shuffled_daemons)]
    return draw.choice(shuffled_daemons)


def draw_arrival(
    draw: Random, settings: LoadSettings, workspace: str, daemon: str, due_ms: float
) -> Arrival:
    """Return an arrival with a statement drawn at random.

    Numbers and lists have separate rows, and so has each workspace, so that what a
    workspace reads can be compared with what it wrote.
    """
    is_write = draw.random() < settings.write_share
    is_transaction = is_write and draw.random() < settings.transaction_share
    is_number = not is_transaction and draw.random() < settings.add_share
    kind = "number" if is_number else "list"
    row = f"{workspace}/{settings.label}/{kind}-{draw.randrange(settings.rows)}"
    write_verb = "add" if is_number else "append"
    if is_transaction:
        write_verb = TRANSACTION
    return Arrival(
        due_ms=due_ms,
        workspace=workspace,
        daemon=daemon,
        group=draw.choice(settings.groups),
        row=row,
        verb=write_verb if is_write else "get",
        repeatable=not is_write or draw.random() >= settings.once_share,
        accepts_age=not is_write and draw.random() < settings.age_share,
    )
