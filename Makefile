# `make day` sets up and plays the scripted bad day; `make test` sets up and runs the tests.
PYTHON ?= python3
VENV = .venv
RUN = $(VENV)/bin/python

.PHONY: setup test day proto

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt
	touch $@

test: setup
	$(RUN) -m unittest discover -s tests -t .

day: setup
	$(RUN) -m milletsill lab run examples/bad-day.textproto --out out/day

proto: setup
	$(VENV)/bin/pip -q install grpcio-tools==1.66.2
	$(RUN) -m grpc_tools.protoc -I. --python_out=. milletsill/settings/milletsill.proto milletsill/planner/plan.proto milletsill/fleet/frames/fleet.proto milletsill/fleet/channels/registers/registers.proto milletsill/fleet/channels/contracts/record.proto
