BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: deps build demo test fuzz

deps:
	./scripts/install-deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >$(BUILD).cmake.log 2>&1 || { cat $(BUILD).cmake.log; exit 1; }
	@rm -f $(BUILD).cmake.log
	@ninja -C $(BUILD) -j $(JOBS)

demo: build
	./scripts/demo $(BUILD)
