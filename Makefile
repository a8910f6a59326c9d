# Front for CMake: each target installs what it needs, builds and runs.
BUILD ?= build
SEED ?= 1
SOAK_SEEDS ?= 1

.PHONY: deps build demo check sanitize lint format bench soak faults \
	fault-soak capacity fuzz clean

deps:
	scripts/install-deps.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD)

demo: build
	scripts/demo.sh $(BUILD)
	scripts/gateway_path.sh $(BUILD)

check: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4
	$(MAKE) sanitize

sanitize: deps
	cmake -S . -B $(BUILD)-asan -G Ninja -DRP_SANITIZE=ON >/dev/null
	cmake --build $(BUILD)-asan
	ctest --test-dir $(BUILD)-asan --output-on-failure -j 4

lint: deps
	scripts/lint.sh $(BUILD)

format:
	clang-format -i $$(git ls-files '*.c' '*.h' '*.cc')

bench: build
	$(BUILD)/rp-bench

soak: build
	$(BUILD)/rp-soak --seed $(SEED) --seeds $(SOAK_SEEDS)
	$(BUILD)/rp-soak --restores --seed $(SEED) --seeds $(SOAK_SEEDS)
	$(BUILD)/rp-soak --evacuations --seed $(SEED) --seeds $(SOAK_SEEDS)

faults: build
	scripts/faults.sh $(BUILD)

fault-soak: build
	for seed in $$(seq $(SEED) $$(($(SEED) + $(SOAK_SEEDS) - 1))); do \
		RESTORES=1 scripts/fault_soak.sh $(BUILD) $$seed || exit 1; done

capacity: build
	scripts/capacity.sh $(BUILD)

fuzz: deps
	scripts/fuzz.sh $(BUILD)-fuzz

clean:
	rm -rf build build-*
