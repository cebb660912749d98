"""Real gateways, each a process: they join, one is killed, one comes back with its state lost, one leaves; all end in one view."""
import signal
import tempfile
import time
import unittest

from milletsill.lab.fleet_processes import Processes

MOST = 60.0  # seconds; far more than it takes, for a busy machine


class Fleet(unittest.TestCase):
    def test_join_kill_lost_state_and_leave(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = Processes(folder.name, 4)
        self.addCleanup(fleet.close)

        def agree(among, what, since=0.0):
            self.assertTrue(fleet.wait(lambda: fleet.agree(among, since), MOST), (what, fleet.views(among)))
        for each in range(4):
            fleet.start(each)
        agree([0, 1, 2, 3], "start")
        fleet.end(3)
        agree([0, 1, 2], "kill")
        said = [line for number in range(3) for line in fleet.log(number) if line["event"] == "member" and line["member"] == "gw-3"]
        self.assertIn("gone", {line["change"] for line in said})
        fleet.forget_state(3)
        since = time.time()
        fleet.start(3)
        agree([0, 1, 2, 3], "back", since)
        self.assertTrue(fleet.wait(lambda: any(each.get("error") == "LostState" for each in fleet.log(3)), MOST))
        self.assertEqual(fleet.end(2, signal.SIGTERM), 0)
        agree([0, 1, 3], "leave")
        said = [line for line in fleet.log(0) if line["event"] == "member" and line["member"] == "gw-2"]
        self.assertEqual(said[-1]["change"], "left")
        self.assertFalse([line for number in range(4) for line in fleet.log(number) if "exception" in line])


if __name__ == "__main__":
    unittest.main()
