VENV := .venv
PYTHON ?= python3
LIBS := $(wildcard libs/*) platform

.PHONY: setup demo test lint format failures measure

setup: $(VENV)/installed

$(VENV)/installed: requirements.lock $(addsuffix /pyproject.toml,$(LIBS))
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation \
		$(addprefix -e ./,$(LIBS))
	touch $@

demo: setup
	$(VENV)/bin/citronshelf-demo --document examples/shonkha/document.toml \
		$(DEMO_OPTIONS)

format: setup
	$(VENV)/bin/ruff format .

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/flake8 libs platform tests measures

test: setup
	$(VENV)/bin/python -m pytest -n 3 --dist loadscope libs platform tests

failures: setup
	$(VENV)/bin/python -m pytest tests -s

