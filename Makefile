# Targets that set up the environment, generate code, run the checks, the demo
# and the benchmarks, and build the program as one file.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
RUN = PYTHONPATH=src:platform:. $(BIN)/python
SOURCES = src platform tests tools benchmarks demo specs soak

.PHONY: test demo soak review regression bench-slots bench-requests bench-even-load bench-memory bench-policy generate check lint format types stale layers unit binary binary-check clean proof-control bench-log bench-datapath bench-roles model matrix

test: check unit

check: lint types stale layers

$(VENV)/.ready: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $(VENV)/.ready

lint: $(VENV)/.ready
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(VENV)/.ready
	$(BIN)/black --quiet $(SOURCES)

types: $(VENV)/.ready
	$(BIN)/mypy

generate: $(VENV)/.ready
	$(RUN) tools/generate.py

pages: $(VENV)/.ready
	$(RUN) tools/reference_pages.py

stale: $(VENV)/.ready
	$(RUN) tools/generate.py --check
	$(RUN) tools/reference_pages.py --check

layers: $(VENV)/.ready
	$(RUN) tools/check_layers.py
	$(RUN) tools/check_names.py

unit: $(VENV)/.ready
	$(RUN) -m pytest

# USER names the example deployment that the demo runs. Every shell sets USER,
# so it is passed on only if it is given on the command line of make.
demo: $(VENV)/.ready
	$(RUN) -m demo $(if $(filter command line,$(origin USER)),$(USER))

TOOLS = build/tools

$(TOOLS)/.ready: requirements-build.lock
	test -x $(TOOLS)/bin/python || $(PYTHON) -m venv $(TOOLS)
	$(TOOLS)/bin/python -m pip install --quiet --disable-pip-version-check -r requirements-build.lock
	touch $(TOOLS)/.ready

binary: $(TOOLS)/.ready
	mkdir -p dist
	$(TOOLS)/bin/shiv --quiet --compile-pyc --python '/usr/bin/env python3' -c gentianspoke -o dist/gentianspoke . --constraint requirements.lock

binary-check: binary
	SHIV_ROOT=build/unpacked $(PYTHON) tools/check_binary.py dist/gentianspoke

clean:
	rm -rf build dist .mypy_cache .pytest_cache

bench-policy: $(VENV)/.ready
	$(RUN) -m benchmarks.policy

bench-datapath: $(VENV)/.ready
	$(RUN) -m benchmarks.datapath

# Needs the packages that deploy/build.sh puts into target/.
bench-roles: $(VENV)/.ready
	$(RUN) -m gentianspoke_bench.role_costs

bench-memory: $(VENV)/.ready
	$(RUN) -m benchmarks.state_memory

bench-slots: $(VENV)/.ready
	$(RUN) -m benchmarks.policy.slots

# Compares requests answered in time with and without the request queue.
bench-requests: $(VENV)/.ready
	$(RUN) -m benchmarks.policy.requests

# Replays load patterns with placement by open flows and by capacity.
bench-even-load: $(VENV)/.ready
	$(RUN) -m benchmarks.policy.even_load

proof-control: $(VENV)/.ready
	$(RUN) -m pytest -s tests/control/proof_control_group.py tests/control/proof_membership.py

bench-log: $(VENV)/.ready
	PYTHONPATH=src:.:tests $(BIN)/python -m benchmarks.catalogue_log

# Checks the specifications within larger bounds than the tests do. For each
# mistake that is seeded into a specification on purpose, prints a trace that
# shows a violation.
model: $(VENV)/.ready
	$(RUN) -m specs

# Plays the cases of the independent review with real processes. Each exits
# with 1 if the rule that it names is broken, and with 2 if it could not run.
review:
	sh deploy/build.sh
	sh review/build.sh
	sh review/1/run.sh
	sh review/2/run.sh
	sh review/3/run.sh

# Runs the fault matrix and writes docs/fault-matrix.md.
matrix: $(VENV)/.ready
	PYTHONPATH=src:.:tests $(BIN)/python -m tests.matrix

# Plays the runs of deploy/regression.yaml and compares them with accepted
# results. REGRESSION holds the options, such as
# REGRESSION="--bench PROGRAM --sites FOLDER --why TEXT".
regression: $(VENV)/.ready
	$(RUN) -m gentianspoke_bench $(REGRESSION)

# Runs real processes and injects faults from outside. SOAK holds options, such
# as SOAK="--seed 7 --seconds 60".
soak: $(VENV)/.ready
	$(RUN) -m soak $(SOAK)
