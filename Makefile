# The two commands of README.md, and the checks that CI adds.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: packages build test demo format lint
packages:
	sh scripts/install_packages.sh

build: packages
	cmake -B $(BUILD) -G Ninja >/dev/null
	ninja -C $(BUILD) -j $(JOBS) --quiet

test: build
	sh scripts/run_tests.sh $(BUILD)

demo: build
	python3 scripts/demo.py $(BUILD)/bin

format: packages
	sh scripts/check_format.sh

lint: build
	sh scripts/check_lint.sh $(BUILD)
