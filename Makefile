# VENV may name an environment that several checkouts share.
VENV ?= .venv
# Options for `amaranthpulley bench`, for example BENCH="--only stragglers".
BENCH ?=
PYTHON := $(VENV)/bin/python
# The stamp's name holds a checksum of the pins, so that an environment is set up
# once for each set of pins, regardless of file timestamps.
PINS := $(shell cat requirements.txt requirements-dev.txt | sha256sum | cut -c1-16)
STAMP := $(VENV)/.pins-$(PINS)

.PHONY: demo test bench dist format setup

demo: $(STAMP)
	$(PYTHON) -m amaranthpulley demo

test: $(STAMP)
	$(PYTHON) -m tests.run

bench: $(STAMP)
	tools/bench.sh $(PYTHON) $(BENCH)

dist: $(STAMP)
	$(PYTHON) -m tools.build_archive dist/amaranthpulley

format: $(STAMP)
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

setup: $(STAMP)

$(STAMP):
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		-r requirements-dev.txt
	touch $@
