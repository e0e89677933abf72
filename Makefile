BUILD ?= build
JOBS ?= $(shell nproc)
SEED ?= 1
RUNS ?= 1000
STEPS ?= 120

.PHONY: deps build demo test test-sanitized fuzz soak

define build_in
	@cmake -S . -B $(1) -G Ninja $(2) >$(1).cmake.log 2>&1 || { cat $(1).cmake.log; exit 1; }
	@rm -f $(1).cmake.log
	@ninja -C $(1) -j $(JOBS) --quiet
endef

deps:
	@./scripts/install-deps

build: deps
	$(call build_in,$(BUILD),)

demo: build
	@./scripts/demo $(BUILD)

test: build
	@./scripts/run-tests $(BUILD)

# The same tests with the address and undefined-behaviour sanitizers.
test-sanitized: deps
	$(call build_in,$(BUILD)-sanitized,-DLAVENDERKEEL_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug)
	@./scripts/run-tests $(BUILD)-sanitized

# Long fuzzing from a seed; a failure prints its steps and how to reproduce it.
fuzz: build
	@RC_PARAMS="seed=$(SEED) max_success=$(RUNS) max_size=$(STEPS)" $(BUILD)/fuzz_test

# Fault plans run against the real programs, from a seed; see test/soak.
soak: build
	@$(BUILD)/soak $(SEED) $(RUNS) timed
