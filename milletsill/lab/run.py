"""Runs a scenario with real processes on loopback, injects its faults and audits it.

A run starts stand-ins, gateways and clients, and ends each of them by its process id
within a time limit. The scenario's clock starts once all processes are ready.
"""

from __future__ import annotations

import glob
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from google.protobuf import text_format

from milletsill.lab.audit import audit
from milletsill.lab.audit_contracts import audit_contracts
from milletsill.lab.audit_fleet import (
    false_deaths,
    fleet_traffic,
    verdict_spreads,
    view_agreements,
    views_agree,
)
from milletsill.lab.contract_figures import GatewayKill, contract_figures
from milletsill.lab.evidence import Evidence
from milletsill.lab.evidence_reader import read_evidence, read_json
from milletsill.lab.fault_timeline import FaultTimeline, read_fault_timeline
from milletsill.lab.gateway_logs import GatewayLogs, read_gateway_logs
from milletsill.lab.processes import (
    LAB,
    GatewayGroupProcess,
    PlannerProcess,
    StartedProcesses,
    free_ports,
)
from milletsill.lab.relay_addresses import own_address, relay_address
from milletsill.lab.report import broken, report
from milletsill.lab.run_result import ChannelsResult, FleetResult, RunResult
from milletsill.lab.starvation import StarvationMonitor
from milletsill.lab.troubles import KILL_FAULTS, ProcessFaultInjector
from milletsill.settings.milletsill_pb2 import GatewayFile, Scenario

__all__ = ["Run", "broken", "report"]
# Seconds.
READY_TIMEOUT, START_DELAY, END_TIMEOUT, SETTLE_TIMEOUT = 60.0, 1.0, 60.0, 20.0
JOIN_ADDRESS_COUNT = 3  # first gateways; the others' files list their addresses
STALE_FILES = (
    "*.rec",
    "*.log",
    "load.json",
    "channels.json",
    "stand.json",
    "*.ready",
    "start",
    "stops.json",
    "traces/*.mtrace",
)


class Run:
    """One run of a scenario; `module` names a baseline scheduler ('': milletsill's own).

    `plant` names a planted fault.
    """

    def __init__(
        self,
        scenario: Scenario,
        out: str,
        module: str = "",
        per_process: int = 1,
        print_status: Callable[[str], None] = lambda text: None,
        flows: str = "off",
        trace: bool = False,
        planner: bool = False,
        plant: str = "",
    ) -> None:
        self.planner: PlannerProcess | None = None
        self.planned, self.plant = planner, plant
        self.flows, self.flow_port, self.trace = flows, 0, trace
        self.scenario, self.out, self.module, self.print_status = (
            scenario,
            os.path.abspath(out),
            module,
            print_status,
        )
        self.processes = StartedProcesses(self.out)
        self.names = [f"edge-{number}" for number in range(scenario.edges)]
        self.groups = [
            GatewayGroupProcess(self, self.names[at : at + per_process])
            for at in range(0, len(self.names), per_process)
        ]
        self.fault_injector = ProcessFaultInjector(self)
        self.starvation = StarvationMonitor()
        self.fleet_port = 0
        self.relay: subprocess.Popen[bytes] | None = None
        self.start = self.ended_at = 0.0
        os.makedirs(self.out, exist_ok=True)
        for old in [
            path for each in STALE_FILES for path in glob.glob(f"{self.out}/{each}")
        ]:
            os.unlink(old)
        # State of an earlier run, such as promised leases, must not affect this one.
        if scenario.gateway.HasField("fleet"):
            for name in self.names:
                shutil.rmtree(f"{self.out}/{name}.state", ignore_errors=True)

    def write_files(self, ports: list[int]) -> None:
        """Write each gateway's configuration file, and the scenario."""
        for number, name in enumerate(self.names):
            file = GatewayFile()
            file.CopyFrom(self.scenario.gateway)
            file.name, file.listen, file.gateways = (
                name,
                f"127.0.0.1:{ports[1 + number]}",
                len(self.names),
            )
            file.registry.address = f"127.0.0.1:{ports[0]}"
            if self.flows != "off":
                file.flows.SetInParent()
                file.flows.collector.add(address=f"127.0.0.1:{self.flow_port}")
                file.flows.idle_s = min(file.flows.idle_s, 5.0)
            if self.planner is not None:
                file.planner.address = f"127.0.0.1:{self.planner_port}"
            if self.fleet_port:
                self.write_fleet(file, number)
            if self.trace:
                file.trace.folder = f"{self.out}/traces"
            file.state_dir, file.seed = (
                f"{self.out}/{name}.state",
                self.scenario.seed * 1000 + number,
            )
            with open(f"{self.out}/{name}.textproto", "w", encoding="utf-8") as sink:
                sink.write(text_format.MessageToString(file))
        with open(f"{self.out}/scenario.textproto", "w", encoding="utf-8") as sink:
            sink.write(text_format.MessageToString(self.scenario))

    def write_fleet(self, file: GatewayFile, number: int) -> None:
        """Let a gateway listen on its own address and advertise the relay's."""
        file.fleet.address = f"{own_address(number)}:{self.fleet_port}"
        file.fleet.advertise = f"{relay_address(number)}:{self.fleet_port}"
        del file.fleet.join[:]
        file.fleet.join.extend(
            f"{relay_address(each)}:{self.fleet_port}"
            for each in range(min(JOIN_ADDRESS_COUNT, len(self.names)))
            if each != number
        )

    def wait_for(self, port: int, what: str) -> None:
        """Wait until a process listens on a port, at most READY_TIMEOUT."""
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                probe.settimeout(1)
                if probe.connect_ex(("127.0.0.1", port)) == 0:
                    return
            time.sleep(0.05)
        raise RuntimeError(f"{what} did not start, see the logs in {self.out}")

    def wait_for_file(self, name: str, process: subprocess.Popen[bytes]) -> None:
        deadline = time.monotonic() + READY_TIMEOUT
        while not os.path.exists(f"{self.out}/{name}"):
            if time.monotonic() > deadline or process.poll() is not None:
                raise RuntimeError(f"{name} not written, see the logs in {self.out}")
            time.sleep(0.02)

    def play(self) -> RunResult:
        """Run the scenario and return its result; all processes are ended."""
        try:
            return self.run_processes()
        finally:
            self.processes.kill_all()

    def run_processes(self) -> RunResult:
        *ports, self.flow_port, self.planner_port, control = free_ports(
            4 + len(self.names)
        )
        if self.planned:
            self.planner = PlannerProcess(self, self.planner_port)
        if self.scenario.gateway.HasField("fleet"):
            addresses = tuple(
                address(number)
                for address in (own_address, relay_address)
                for number in range(len(self.names))
            )
            self.fleet_port = free_ports(1, addresses)[0]
        self.write_files(ports)
        spawn = self.processes.spawn
        stand = spawn(LAB + ["stand", self.out, str(ports[0])], "stand")
        self.wait_for(ports[0], "the stand-ins")
        if self.fleet_port:
            self.relay = spawn(
                LAB + ["relay", self.out, str(self.fleet_port), str(control)], "relay"
            )
            self.wait_for(control, "the relay")
        collector = self.start_collector()
        if self.planner is not None:
            self.planner.start()
        for each in self.groups:
            each.start()
        for number, name in enumerate(self.names):
            self.wait_for(ports[1 + number], name)
        gateway_addresses = ",".join(
            f"{name}=127.0.0.1:{ports[1 + number]}"
            for number, name in enumerate(self.names)
        )
        clients = [
            spawn(LAB + [name, self.out, gateway_addresses], name)
            for name in (["load", "channels"] if self.scenario.channels else ["load"])
        ]
        for name, process in zip(("load", "channels"), clients):
            self.wait_for_file(f"{name}.ready", process)
        start = self.begin()
        self.print_status(
            f"{len(self.names)} gateways in {len(self.groups)} processes, {sum(b.count for b in self.scenario.box)} "
            f"nodes, {self.scenario.seconds:g} s"
        )
        self.fault_injector.plan(start)
        deadline = start + self.scenario.seconds + self.scenario.tail_s + END_TIMEOUT
        while (
            any(each.poll() is None for each in clients) and time.monotonic() < deadline
        ):
            now = time.monotonic()
            self.fault_injector.play(now)
            self.fault_injector.stops += self.starvation.find_spans(now, self.groups)
            time.sleep(0.01)
        # A gateway that was killed late may still be starting.
        for number, name in enumerate(self.names):
            self.wait_for(ports[1 + number], name)
        self.ended_at = self.wait_until_settled()
        return self.finish(clients, stand, collector)

    def wait_until_settled(self) -> float:
        """Wait until the views agree, at most SETTLE_TIMEOUT; return the time."""
        deadline = time.monotonic() + SETTLE_TIMEOUT
        while self.fleet_port and time.monotonic() < deadline:
            logs, timeline = self.read_logs()
            if views_agree(logs, timeline, self.names, time.monotonic()):
                break
            time.sleep(0.25)
        return time.monotonic()

    def read_logs(self) -> tuple[GatewayLogs, FaultTimeline]:
        """Return the contents of the gateways' logs so far, and the injected faults."""
        logs = read_gateway_logs(
            self.out,
            [each.name for each in self.groups],
            time.time() - time.monotonic(),
        )
        return logs, read_fault_timeline(
            self.out, self.names, self.start, logs, self.fault_injector.process_faults
        )

    def begin(self) -> float:
        """Write the start time (monotonic) to the file that other processes wait for."""
        start = self.start = time.monotonic() + START_DELAY
        with open(f"{self.out}/start.new", "w", encoding="ascii") as sink:
            sink.write(repr(start))
        os.replace(f"{self.out}/start.new", f"{self.out}/start")
        return start

    def start_collector(self) -> Any:
        """Start the flow collector: a real one, one that never reads, or none."""
        address = f"127.0.0.1:{self.flow_port}"
        if self.flows == "on":
            return self.processes.spawn(
                [
                    sys.executable,
                    "-m",
                    "milletsill",
                    "flows",
                    "collect",
                    "--quiet",
                    "--listen",
                    address,
                ],
                "collector",
            )
        if self.flows == "stuck":
            return self.processes.spawn(
                LAB + ["deaf", str(self.flow_port)], "collector"
            )
        return None

    def collected_flows(self, collector: Any, evidence: Evidence) -> dict[str, Any]:
        """Return the collector's counts next to what nodes and clients recorded."""
        if self.flows != "on":
            return {}
        collector.send_signal(signal.SIGTERM)
        collector.wait(30)
        summary = json.loads(
            Path(f"{self.out}/collector.log")
            .read_text(encoding="utf-8")
            .splitlines()[-1]
        )
        sums = summary["sums"]
        return {
            "commands": (
                sums.get("client commandDeltaCount", 0),
                len(evidence.commands),
            ),
            "dispatches": (
                sums.get("box dispatchDeltaCount", 0),
                len(evidence.attempts),
            ),
            "missing": summary["missing"],
            "malformed": summary["malformed"],
            "unknown": summary["unknown_sets"],
            "bytes": summary["bytes"],
            "traffic": sum(count for name, count in sums.items() if "ctet" in name),
        }

    def finish(
        self, clients: list[Any], stand: Any, collector: Any = None
    ) -> RunResult:
        """End the gateways with SIGTERM, then the other processes; audit the records."""
        exits: list[int | str | None] = []
        for each in self.groups:
            each.signal(signal.SIGCONT)
            each.signal(signal.SIGTERM)
        for each in self.groups:
            try:
                exits.append(each.process.wait(40) if each.process else None)
            except subprocess.TimeoutExpired:
                exits.append("did not end")
        if self.planner is not None:
            self.planner.signal(signal.SIGCONT)
            self.planner.signal(signal.SIGTERM)
        for stand_in in (stand, self.relay):
            if stand_in is not None:
                stand_in.send_signal(signal.SIGTERM)
                stand_in.wait(30)
        for name, process in zip(("load", "channels"), clients):
            if process.poll() != 0:
                raise RuntimeError(
                    f"the process `{name}` ended with {process.poll()}, see {self.out}/{name}.log"
                )
        with open(f"{self.out}/stops.json", "w", encoding="utf-8") as sink:
            json.dump(self.fault_injector.stops, sink)
        evidence = read_evidence(self.out, len(glob.glob(f"{self.out}/box-*.rec")))
        flows = self.collected_flows(collector, evidence)
        return RunResult(
            module=self.module or "BD-EDF",
            load=read_json(f"{self.out}/load.json"),
            breaches=audit(evidence, self.scenario),
            command_count=len(evidence.commands),
            attempt_count=len(evidence.attempts),
            exits=exits,
            faults=self.tracebacks(),
            starved=self.starvation.total,
            planned=self.planned,
            flows=flows,
            fleet=self.fleet_result(),
            channels=self.channels_result(evidence),
        )

    def tracebacks(self) -> list[str]:
        """Return the names of the logs that contain an uncaught exception."""
        return [
            os.path.basename(each)
            for each in sorted(glob.glob(f"{self.out}/*.log"))
            if b"Traceback" in Path(each).read_bytes()
        ]

    def fleet_result(self) -> FleetResult | None:
        """Return what the gateways' logs say about views; None without a fleet."""
        if not self.fleet_port:
            return None
        logs, timeline = self.read_logs()
        return FleetResult(
            start=self.start,
            agreements=view_agreements(logs, timeline, self.names, self.ended_at),
            false_deaths=false_deaths(logs, timeline),
            spreads=verdict_spreads(logs, self.scenario, self.start, len(self.names)),
            traffic=fleet_traffic(self.out),
        )

    def channels_result(self, evidence: Evidence) -> ChannelsResult | None:
        """Return the audit of the ordering contracts; None without channels."""
        if not self.scenario.channels:
            return None
        kills = [
            GatewayKill(fault.at, fault.gateways)
            for fault in self.fault_injector.process_faults
            if fault.kind in KILL_FAULTS
        ]
        return ChannelsResult(
            summary=read_json(f"{self.out}/channels.json"),
            breaches=audit_contracts(evidence, self.scenario),
            figures=contract_figures(evidence, self.scenario, kills),
        )
