# Two commands for a newcomer: make run, make test. Everything goes into .venv here.
PYTHON ?= python3
VENV ?= .venv
# Tests that run one at a time, apart from all others; and pytest's exit code if ARGS choose none of them.
ALONE = tests/lab/test_hostile_clients.py
NO_TESTS = 5

.PHONY: run run-gateway test lint clean setup

setup: $(VENV)/dev

$(VENV)/dev: pyproject.toml requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements-dev.txt -e '.[fleet,lab,system]'
	touch $@

run: setup  ## a whole system of two zones on loopback, with servers, clients and an operator, until Ctrl-C
	@$(VENV)/bin/python examples/system/two_zones.py $(ARGS)

run-gateway: setup  ## the earlier gateway: a toy world and three gateways under an agent, until Ctrl-C
	@$(VENV)/bin/python examples/run.py $(ARGS)

test: setup  ## the tests, as CI runs them
	$(VENV)/bin/python -m pytest -q -n 4 --ignore=$(ALONE) $(ARGS)
	$(VENV)/bin/python -m pytest -q $(ALONE) $(ARGS) || test $$? -eq $(NO_TESTS)

lint: setup  ## the linter and the type checker
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy

clean:
	rm -rf $(VENV) build *.egg-info .mypy_cache .pytest_cache .ruff_cache
