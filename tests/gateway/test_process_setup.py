"""The reactor's timers use the monotonic clock.

With the wall clock, a timer would be late by as much as the clock is set back.
"""

import time
import unittest

from twisted.internet.selectreactor import SelectReactor

from milletsill.sftp_gateway.process import use_monotonic_timers


class MonotonicTimers(unittest.TestCase):
    def test_a_timer_is_due_by_the_monotonic_clock(self):
        reactor, called, wall = SelectReactor(), [], [1000.0]
        self.addCleanup(reactor.disconnectAll)
        reactor.seconds = lambda: wall[0]  # Twisted's default clock
        use_monotonic_timers(reactor)
        reactor.callLater(0.02, called.append, "due")
        wall[0] -= 5
        time.sleep(0.03)
        reactor.runUntilCurrent()
        self.assertEqual(called, ["due"])


if __name__ == "__main__":
    unittest.main()
