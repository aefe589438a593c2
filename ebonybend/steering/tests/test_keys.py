from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from hypothesis.strategies import integers, sampled_from
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.steering.keys import (
    EPOCH_S,
    FRESH_EPOCHS,
    KEPT_ANSWER_BYTES,
    KEPT_EPOCHS,
    KeyPrefix,
    KeyRegistry,
    ReservationState,
    StoredAnswer,
)
from ebonybend.steering.outcomes import KnownOutcomeState, OutcomeStore

ANSWER = StoredAnswer("f", 200, "text/plain", b"done", "server-1")


class BadKeyTest(TestWithScenarios, TestCase):
    """Guards against keys whose owner can't be told or is written in two ways."""

    scenarios = [
        (name, {"key": key})
        for name, key in (
            ("empty", ""),
            ("no_caller_id", "a~1~2"),
            ("empty_caller_id", "a~1~2~"),
            ("no_instance", "~1~2~x"),
            ("text_incarnation", "a~b~2~x"),
            ("negative_epoch", "a~1~-2~x"),
            ("leading_zero", "a~1~02~x"),
            ("other_digits", "a~1~\u0662~x"),
        )
    ]

    def test_refused(self):
        error = self.assertRaises(SteeringError, KeyPrefix.parse, self.key)
        self.assertIs(ErrorKind.BAD_KEY, error.kind)


class ReservationTest(TestWithScenarios, TestCase):
    """Guards against a wrong answer to a resend."""

    scenarios = [
        ("running", {"steps": ["begin_dispatch"], "state": ReservationState.RUNNING}),
        ("reserved", {"steps": [], "state": ReservationState.RUNNING}),
        ("refused", {"steps": ["record_not_run"], "state": ReservationState.NOT_RUN}),
        (
            "refused_long_ago",
            {"steps": ["record_not_run", "age"], "state": ReservationState.NOT_RUN},
        ),
        (
            "shed",
            {
                "steps": ["begin_dispatch", "record_not_run"],
                "state": ReservationState.NOT_RUN,
            },
        ),
        (
            "unknown",
            {
                "steps": ["begin_dispatch", "record_unknown"],
                "state": ReservationState.UNKNOWN,
            },
        ),
        (
            "finished",
            {"steps": ["begin_dispatch", "finish"], "state": ReservationState.FINISHED},
        ),
        (
            "never_released_after_unknown",
            {
                "steps": ["begin_dispatch", "record_unknown", "record_not_run"],
                "state": ReservationState.UNKNOWN,
            },
        ),
        (
            "expired",
            {"steps": ["begin_dispatch", "expire"], "state": ReservationState.EXPIRED},
        ),
    ]

    def test_state_after_steps(self):
        clock = ManualClock()
        registry = KeyRegistry("a", 7, clock)
        key = f"{registry.prefix()}~x"
        registry.reserve(key, "f")
        for step in self.steps:
            if step == "finish":
                registry.record_answer(key, ANSWER)
            elif step == "age":
                clock.advance((FRESH_EPOCHS + 1) * EPOCH_S)
            elif step == "expire":
                clock.advance((KEPT_EPOCHS + 1) * EPOCH_S)
            else:
                getattr(registry, step)(key)
        self.assertIs(self.state, registry.reserve(key, "f").state)


class RefusedKeyTest(TestCase):
    """Guards against the dispatch of keys that this process did not give out."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.registry = KeyRegistry("a", 7, self.clock)

    def test_other_incarnation_future_epoch_and_other_request(self):
        state = self.registry.reserve("a~6~0~x").state
        self.assertIs(ReservationState.NOT_OWNED, state)
        state = self.registry.reserve("a~7~1~x").state
        self.assertIs(ReservationState.NOT_ISSUED, state)
        self.registry.reserve("a~7~0~x", "one")
        state = self.registry.reserve("a~7~0~x", "two").state
        self.assertIs(ReservationState.MISMATCH, state)

    def test_first_use_long_after_the_key_was_given_out(self):
        self.clock.advance((FRESH_EPOCHS + 1) * EPOCH_S)
        state = self.registry.reserve("a~7~0~x").state
        self.assertIs(ReservationState.NOT_RUN, state)

    def test_large_answer_is_not_kept(self):
        self.registry.reserve("a~7~0~x", "f")
        self.registry.begin_dispatch("a~7~0~x")
        large = StoredAnswer("f", 200, None, b"x" * (KEPT_ANSWER_BYTES + 1), "s")
        self.registry.record_answer("a~7~0~x", large)
        self.assertIsNone(self.registry.reserve("a~7~0~x", "f").answer.body)


class SealTest(TestCase):
    """Guards against "not run" from a peer that lacks some outcomes."""

    def test_incomplete_seal_is_refused(self):
        clock = ManualClock()
        registry, store = KeyRegistry("a", 7, clock), OutcomeStore(clock)
        for name in ("x", "y"):
            registry.reserve(f"a~7~0~{name}", "f")
            registry.begin_dispatch(f"a~7~0~{name}")
            registry.record_answer(f"a~7~0~{name}", ANSWER)
        sealed = registry.seal()
        store.add("a", 7, registry.outcomes_since(0, 1).outcomes)
        self.assertFalse(store.seal(sealed))
        self.assertIsNone(store.find("a~7~0~y", "f"))
        store.add("a", 7, registry.outcomes_since(1).outcomes)
        self.assertTrue(store.seal(sealed))
        self.assertIs(KnownOutcomeState.FINISHED, store.find("a~7~0~y", "f").state)
        self.assertIs(KnownOutcomeState.NOT_RUN, store.find("a~7~0~z", "f").state)


class AtMostOnceMachine(RuleBasedStateMachine):
    """Send, resend, seal, expire and replicate keys in any order."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.registry = KeyRegistry("a", 7, self.clock)
        self.store = OutcomeStore(self.clock)
        self.mark = 0
        self.keys: list[str] = []
        # Dispatches per key that were not answered with "not run".
        self.runs: dict[str, int] = {}
        self.running: set[str] = set()
        self.refused: set[str] = set()
        self.sealed = None

    @rule(name=integers(0, 3), back=integers(0, 2))
    def send(self, name, back):
        epoch = max(0, self.registry.epoch() - back)
        key = f"a~7~{epoch}~{name}"
        if key not in self.keys:
            self.keys.append(key)
        self.resend_key(key)

    @precondition(lambda self: self.keys)
    @rule(index=integers(0, 200))
    def resend(self, index):
        self.resend_key(self.keys[index % len(self.keys)])

    def resend_key(self, key):
        if self.registry.reserve(key, "f").state is not ReservationState.NEW:
            return
        if self.registry.begin_dispatch(key):
            assert key not in self.refused, key
            self.runs[key] = self.runs.get(key, 0) + 1
            self.running.add(key)

    @precondition(lambda self: self.running)
    @rule(index=integers(0, 200), end=sampled_from(["finished", "unknown", "not_run"]))
    def end(self, index, end):
        key = sorted(self.running)[index % len(self.running)]
        self.running.discard(key)
        if end == "finished":
            self.registry.record_answer(key, ANSWER)
        elif end == "unknown":
            self.registry.record_unknown(key)
        else:
            self.registry.record_not_run(key)
            self.refused.add(key)
            self.runs[key] -= 1

    @rule(epochs=sampled_from([0.5, 1, 30, KEPT_EPOCHS + 1]))
    def advance(self, epochs):
        self.clock.advance(epochs * EPOCH_S)

    @rule(most=integers(1, 3))
    def replicate(self, most):
        found = self.registry.outcomes_since(self.mark, most)
        self.mark = found.mark
        self.store.add("a", 7, found.outcomes)

    @rule()
    def seal(self):
        self.sealed = self.sealed or self.registry.seal()
        self.store.seal(self.sealed)

    @invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in self.runs.values()), self.runs

    @invariant()
    def not_run_is_true(self):
        for key in self.keys:
            found = self.store.find(key, "f")
            if found is not None and found.state is KnownOutcomeState.NOT_RUN:
                assert self.runs.get(key, 0) == 0, key


class AtMostOnceTest(TestCase):
    """Guards against a second dispatch under one key."""

    def test_any_order_of_events(self):
        run_state_machine_as_test(
            AtMostOnceMachine,
            settings=settings(
                max_examples=150, stateful_step_count=40, deadline=None, database=None
            ),
        )
