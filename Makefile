.DEFAULT_GOAL := help
VENV ?= .venv
PYTHON ?= python3.11
RUN := $(VENV)/bin/python -m
# How many fresh examples `make properties` draws for each property.
EXAMPLES ?= 1000
# How many times worse a figure may be before bench-compare fails.
RATIO ?= 1.25

# Each name here stands for a job, not for a file.
.PHONY: help setup demo capacity test properties bench bench-compare soak mutations
.PHONY: ablation lint format format-check check

help:  ## Show this list.
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 16

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

setup: $(VENV)/.installed  ## Make the virtual environment with the locked libraries.

demo: setup  ## Run the main job once, on stand-ins, and say what each step did.
	$(RUN) standins.demo
	$(RUN) standins.linedemo

capacity: setup  ## Measure the slopes (about 4 minutes) and rewrite docs/CAPACITY.md.
	$(RUN) lab.slopes

test: setup  ## Run all tests.
	$(RUN) pytest

properties: setup  ## Check the properties with EXAMPLES fresh examples each.
	BRONZERELAY_FRESH_EXAMPLES=$(EXAMPLES) $(RUN) pytest -m hypothesis

bench: setup  ## Measure both deployments beside the naive baseline (about 4 minutes).
	$(RUN) lab.bench

bench-compare: setup  ## Measure again and fail where it is worse than the committed run.
	$(RUN) lab.bench --no-pages --output build/bench.json
	$(RUN) lab.compare docs/measurements/bench.json build/bench.json --ratio $(RATIO)

soak: setup  ## Run random fault schedules with a fresh seed, and check every promise.
	$(RUN) lab.soak --schedules 100

mutations: setup  ## Switch off one mechanism after another and see its test fail.
	$(RUN) lab.mutations

ablation: setup  ## Say how to measure what each mechanism is worth.
	$(RUN) lab.ablation --help

lint: setup  ## Check the code with the linter.
	$(RUN) ruff check .

format: setup  ## Rewrite the code with the formatter.
	$(RUN) ruff format .
	$(RUN) ruff check --fix .

format-check: setup  ## Check that the formatter would change nothing.
	$(RUN) ruff format --check .

check: format-check lint test  ## Run all that CI runs.
