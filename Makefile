VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

.PHONY: demo test lint format bench binary report clean

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m demo

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 src tests benchmarks demo

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

# pytest runs last so that its count line closes the output.
test: lint
	@if [ -f KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi
	$(VENV)/bin/behave --format progress tests/features
	$(PY) -m pytest

bench: $(STAMP)
	mkdir -p build
	$(PY) -m benchmarks --output build/bench.json $(BENCH_ARGS)

# make report ARGS="journal/A.json journal/B.json --seconds DAY.txt"
report: $(STAMP)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[report]'
	$(PY) -m benchmarks.report $(ARGS)

binary: $(STAMP)
	mkdir -p build
	rm -rf build/lib build/bdist.*
	$(VENV)/bin/shiv --quiet --compressed --console-script cyclamenridge \
		--output-file build/cyclamenridge .

clean:
	rm -rf build .hypothesis .ruff_cache
