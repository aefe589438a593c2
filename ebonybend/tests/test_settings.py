from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.settings import parse_settings

VALID_ARGUMENTS = ["ebonybendd", "--role=entry", "--instance=a", "--failure_domain=d"]


class BadSettingTest(TestWithScenarios, TestCase):
    """Guards against starting with an invalid setting, and errors without its flag."""

    scenarios = [
        ("role", {"flag": "role", "value": "router"}),
        ("log_level", {"flag": "log_level", "value": "loud"}),
        ("instance", {"flag": "instance", "value": "a~b"}),
        ("address", {"flag": "peer_listen", "value": "localhost:80"}),
        ("port", {"flag": "public_listen", "value": "127.0.0.1:99999"}),
        ("seed", {"flag": "seeds", "value": "127.0.0.1"}),
        ("source", {"flag": "source_address", "value": "host"}),
        ("number", {"flag": "hold_ms", "value": "soon"}),
        ("range", {"flag": "longest_deadline_ms", "value": "0"}),
        ("order", {"flag": "default_deadline_ms", "value": "6000"}),
    ]

    def test_error_names_flag_and_value(self):
        error = self.assertRaises(
            SteeringError,
            parse_settings,
            [*VALID_ARGUMENTS, f"--{self.flag}={self.value}"],
            {},
        )
        self.assertIs(ErrorKind.BAD_SETTING, error.kind)
        self.assertIn(self.flag, error.message)
        self.assertIn(self.value, error.message)
        self.assertNotIn("\n", error.message)


class PrecedenceTest(TestCase):
    """Guards against a wrong precedence of flag, environment and default."""

    def test_flag_before_environment_before_default(self):
        environment = {"EBONYBEND_HOLD_MS": "1500", "EBONYBEND_LOG_LEVEL": "error"}
        settings = parse_settings([*VALID_ARGUMENTS, "--hold_ms=700"], environment)
        self.assertEqual(700, settings.hold_ms)
        self.assertEqual("error", settings.log_level)
        self.assertEqual(2000, settings.default_deadline_ms)
