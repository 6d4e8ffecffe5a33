# Two commands for a newcomer: make run, make test. Everything goes into .venv here.
PYTHON ?= python3
VENV ?= .venv

.PHONY: run test lint clean setup

setup: $(VENV)/dev

$(VENV)/dev: pyproject.toml requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements-dev.txt -e '.[fleet,lab]'
	touch $@

run: setup  ## the example world and three gateways under an agent, until Ctrl-C
	@$(VENV)/bin/python examples/run.py $(ARGS)

test: setup  ## the tests, as CI runs them
	$(VENV)/bin/python -m pytest -q -n 4 $(ARGS)

lint: setup  ## the linter and the type checker
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy

clean:
	rm -rf $(VENV) build *.egg-info .mypy_cache .pytest_cache .ruff_cache
