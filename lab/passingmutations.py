"""How each mechanism of link holders is switched off, and which test must then fail."""

from lab.poolermutations import POOLER, Mutation

HOLDERS = "bronzerelay/load/linkholders.py"
PASSING = "tests/test_passing.py::"
CHOICE = "tests/test_linkholders.py::TestChoice"

PASSING_MUTATIONS = (
    Mutation(
        "statements are passed on to the daemon that holds an instance's links",
        POOLER + "execution.py",
        "return self._share_of_links(service) < 1 and self._holders.count > 1",
        "return False",
        PASSING + "TestWarmLinks",
    ),
    Mutation(
        "holders are chosen in the instance's failure domain",
        HOLDERS,
        "near = [name for name, at in self._domains.items() if at == domain]",
        "near = []",
        "tests/test_linkholders.py::TestRanking",
    ),
    Mutation(
        "a holder that failed is avoided for a while",
        HOLDERS,
        "if view.is_avoided(instance_id, now_ms):",
        "if False:",
        CHOICE,
    ),
    Mutation(
        "a holder that answers nothing gets no new statements",
        HOLDERS,
        "elif view.is_silent(now_ms):",
        "elif False:",
        CHOICE,
    ),
    Mutation(
        "a holder that stops is left to the next one",
        HOLDERS,
        "return [name for name in ranking if not self.is_leaving(name)]",
        "return list(ranking)",
        CHOICE,
    ),
    Mutation(
        "a stand-by keeps only a few idle links",
        POOLER + "execution.py",
        "fraction = HELD_IDLE_FRACTION if is_first else STANDBY_IDLE_FRACTION",
        "fraction = HELD_IDLE_FRACTION",
        PASSING + "TestWarmLinks",
    ),
    Mutation(
        "idle links of other workspaces make room for a new one",
        POOLER + "links.py",
        "if max_open is not None and self.count_open(entry.id) >= max_open:",
        "if False:",
        "tests/test_links.py",
    ),
    Mutation(
        "a holder that stays cut off is tested less and less",
        HOLDERS,
        "factor = min(2**view.unreached, MAX_AVOID_FACTOR)",
        "factor = 1",
        CHOICE,
    ),
    Mutation(
        "a read is tried another way once its holder is silent",
        POOLER + "passingclient.py",
        "if now_ms >= last_ms or view.is_silent(now_ms):",
        "if now_ms >= last_ms:",
        PASSING + "TestHolderFails",
    ),
    Mutation(
        "a statement sent along with BEGIN tells of the log as of its sending",
        POOLER + "passingclient.py",
        'data, sent_at_ms = b"", link.sent_at_ms',
        'data, sent_at_ms = b"", None',
        PASSING + "TestTransactions",
    ),
    Mutation(
        "a holder reads nothing from an instance that claims to be the primary",
        POOLER + "passingserver.py",
        "return known.claims_primary and (primary is None or primary.id != entry.id)",
        "return False",
        PASSING + "TestPrimaryGuard",
    ),
    Mutation(
        "a holder says that it serves a connection before it gets anything",
        POOLER + "passingclient.py",
        "if greeting.outcome != Outcome.ANSWERED:",
        "if False:",
        PASSING + "TestHolderFails",
    ),
    Mutation(
        "a statement for another run of the instance isn't served",
        POOLER + "passingserver.py",
        "if entry is None or entry.born_ms != request.born_ms:",
        "if entry is None:",
        PASSING + "TestHolderFails",
    ),
    Mutation(
        "a statement that a holder didn't take goes direct",
        POOLER + "runner.py",
        "if not isinstance(outcome, NotTaken):",
        "if True:",
        PASSING + "TestHolderFails",
    ),
    Mutation(
        "a transaction whose holder ends is said to have ended",
        POOLER + "runner.py",
        "if not link.usable and not is_commit:",
        "if False:",
        PASSING + "TestTransactions",
    ),
    Mutation(
        "a holder rolls back when the origin's connection ends",
        POOLER + "passingserver.py",
        "        if link is not None:\n            self._server.roll_back(link)",
        "",
        PASSING + "TestTransactions",
    ),
    Mutation(
        "an origin knows that an instance doesn't answer its holder",
        POOLER + "passingserver.py",
        "is_silent = is_lost and self._executor.is_failing(entry)",
        "is_silent = False",
        PASSING + "TestInstanceFails",
    ),
    Mutation(
        "a read that a holder refuses is tried at another instance",
        POOLER + "runner.py",
        "if not isinstance(outcome, Refusal) or outcome.code not in SPILLING_CODES:",
        "if True:",
        PASSING + "TestInstanceFails",
    ),
    Mutation(
        "a transaction whose opening got no answer isn't opened again",
        POOLER + "passingclient.py",
        "if isinstance(outcome, Answer) and not connection.usable:",
        "if False:",
        "tests/test_passing.py::TestTransactions",
    ),
    Mutation(
        "an origin goes direct where only its holder finds an instance silent",
        POOLER + "passingserver.py",
        "(Code.NO_PRIMARY, Code.ISOLATED, Code.ENDPOINT_UNREACHABLE)",
        "(Code.NO_PRIMARY, Code.ISOLATED)",
        "tests/test_passing.py::TestInstanceFails",
    ),
    Mutation(
        "an answer from before a primary change is no sample of the new primary",
        POOLER + "positions.py",
        "if at_ms < self.reset_at_ms:",
        "if False:",
        "tests/test_placement.py::TestLogSamples",
    ),
)
