VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
PACKAGES := -e packages/core -e packages/node -e packages/operator -e packages/standins

.PHONY: install run serve test lint format bench clean settings-reference

$(VENV)/.installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt \
		--requirement requirements-dev.txt $(PACKAGES)
	touch $@

install: $(VENV)/.installed

run: install
	$(BIN)/python -m skylarklug_standins.run examples/casva.toml
	$(BIN)/python -m skylarklug_standins.run examples/ile-reboot.toml

serve: install
	$(BIN)/python -m skylarklug_standins.serve --processes examples/casva.toml

test: install
	$(BIN)/python -m pytest -n 6

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: install
	$(BIN)/python -m bench

clean:
	rm -rf $(VENV)

settings-reference: install
	$(BIN)/python -m skylarklugd.reference > docs/settings.md
