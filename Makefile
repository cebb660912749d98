# `make day` runs the scenario examples/bad-day.textproto; `make test` runs the tests;
# `make lint` checks format, style and types; `make proto` generates the protobuf modules.
# Each target first installs what it needs into .venv.
PYTHON ?= python3
VENV = .venv
RUN = $(VENV)/bin/python
PROTOS = $(shell find milletsill -name '*.proto')
# Files of the laboratory that are not checked with mypy --strict yet.
LAB_LEFT = $(addprefix milletsill/lab/,__main__.py baselines.py channels.py clients.py day.py engine.py fleet_processes.py \
	load.py processes.py run.py stand.py troubles.py)
# Files and packages that are checked with mypy --strict.
TYPED = milletsill/interface.py milletsill/deployment_config.py milletsill/deployment_settings.py milletsill/named_timers.py \
	milletsill/scheduler milletsill/wirehost milletsill/gateway milletsill/http1 milletsill/http_gateway milletsill/sftp_gateway milletsill/node_connections milletsill/sftp \
	milletsill/registry milletsill/errors milletsill/fleet milletsill/planner milletsill/settings milletsill/flows milletsill/trace milletsill/cli milletsill/event_log.py milletsill/logs.py milletsill/__main__.py milletsill/lab/model_checks milletsill/lab/hunt \
	$(filter-out $(LAB_LEFT),$(wildcard milletsill/lab/*.py))

.PHONY: setup setup-dev lint test day proto

setup: $(VENV)/.installed

setup-dev: $(VENV)/.installed-dev

$(VENV)/.installed: requirements.txt
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt
	touch $@

$(VENV)/.installed-dev: requirements-dev.txt $(VENV)/.installed
	$(VENV)/bin/pip -q install -r requirements-dev.txt
	touch $@

lint: setup-dev
	$(RUN) -m ruff format --check .
	$(RUN) -m ruff check .
	$(RUN) -m mypy --strict --follow-imports=silent $(TYPED)

test: setup-dev
	$(RUN) -m unittest discover -s tests -t .

day: setup
	$(RUN) -m milletsill lab run examples/bad-day.textproto --out out/day

proto: setup-dev
	$(RUN) -m grpc_tools.protoc -I. --python_out=. --pyi_out=. $(PROTOS)
