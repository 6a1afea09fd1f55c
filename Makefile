# almondward: see README.md. Generated code is committed; "make proto" is only
# needed after a change of almondward/almondward.proto.

CC ?= gcc
CXX ?= g++
BUILD = build
PYTHON = /usr/bin/python3

LIBS = libwebsockets libprotobuf-c libcjson yaml-0.1 libsodium zlib
LDLIBS = -lwebsockets -lev -lprotobuf-c -lcjson -lyaml -lsodium -lz -lhttp_parser -lm
WARN = -Wall -Wextra -Wstrict-prototypes -Wmissing-prototypes -Wshadow \
	-Wpointer-arith -Wwrite-strings -Werror
CPPFLAGS += -D_GNU_SOURCE -Ialmondward -Iplatform
CFLAGS += -std=gnu11 -O2 -g -fno-common $(WARN)
SAN = -fsanitize=address,undefined -fno-sanitize-recover=undefined

GENERATED = almondward/almondward.pb-c.c
MAIN = almondward/main.c
SRC = $(filter-out $(MAIN) $(GENERATED),$(wildcard almondward/*.c)) \
	$(wildcard platform/*.c)
TOOL_SRC = $(wildcard testserver/*.c) $(wildcard loadgen/*.c)
HDR = $(wildcard almondward/*.h platform/*.h)
TEST_SRC = $(wildcard tests/*_test.cc)

OBJ = $(SRC:%.c=$(BUILD)/obj/%.o) $(GENERATED:%.c=$(BUILD)/obj/%.o)
SAN_OBJ = $(SRC:%.c=$(BUILD)/san/%.o) $(GENERATED:%.c=$(BUILD)/san/%.o)
TESTS = $(TEST_SRC:tests/%.cc=$(BUILD)/tests/%)
PROGRAMS = $(BUILD)/almondward $(BUILD)/testserver $(BUILD)/loadgen

FORMATTED = $(wildcard platform/*.h) $(filter-out almondward/almondward.pb-c.h,$(HDR)) $(SRC) \
	$(wildcard $(MAIN)) $(TOOL_SRC) $(wildcard testserver/*.h loadgen/*.h) \
	$(TEST_SRC) $(wildcard tests/*.h)
LINTED = $(SRC) $(wildcard $(MAIN)) $(TOOL_SRC)
MANUALS = $(wildcard almondward/*.8 almondward/*.5)

all: $(PROGRAMS)

$(BUILD)/obj/almondward/almondward.pb-c.o: CFLAGS := -std=gnu11 -O2 -g
$(BUILD)/san/almondward/almondward.pb-c.o: CFLAGS := -std=gnu11 -O2 -g

$(BUILD)/obj/%.o: %.c $(HDR)
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c -o $@ $<

$(BUILD)/san/%.o: %.c $(HDR)
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) $(SAN) -c -o $@ $<

$(BUILD)/libalmondward.a: $(OBJ)
	rm -f $@ && ar rcs $@ $^

$(BUILD)/libalmondward-san.a: $(SAN_OBJ)
	rm -f $@ && ar rcs $@ $^

$(BUILD)/almondward: $(BUILD)/obj/$(MAIN:.c=.o) $(BUILD)/libalmondward.a
$(BUILD)/testserver: $(BUILD)/obj/testserver/testserver.o $(BUILD)/libalmondward.a
$(BUILD)/loadgen: $(patsubst %.c,$(BUILD)/obj/%.o,$(wildcard loadgen/*.c)) \
	$(BUILD)/libalmondward.a
$(PROGRAMS):
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

# The archive is a prerequisite, so that the tests need not be relinked by hand
# after a change to only a header of one module.
$(BUILD)/tests/%: tests/%.cc $(wildcard tests/*.h) $(BUILD)/libalmondward-san.a
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) -std=gnu++17 -O1 -g -Wall -Wextra -Werror \
		-Wno-missing-field-initializers $(SAN) -o $@ $< \
		$(BUILD)/libalmondward-san.a -lgtest -lgtest_main $(LDLIBS)

$(BUILD)/tests/http_bench: tests/http_bench.c $(BUILD)/libalmondward.a
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -o $@ $^ $(LDLIBS)

bench: $(BUILD)/tests/http_bench
	$(BUILD)/tests/http_bench

# Measures the slopes (costs per unit) that docs/CAPACITY.md uses in its
# calculations; takes less than four minutes.
capacity: all
	$(PYTHON) loadgen/capacity.py $(BUILD)

install-deps:
	sh .ci/install

format:
	clang-format -i $(FORMATTED)

check-format:
	clang-format --dry-run --Werror $(FORMATTED)

lint:
	echo $(LINTED) | tr ' ' '\n' | xargs -P 8 -n 1 sh -c \
		'clang-tidy --quiet "$$0" -- $(CPPFLAGS) -std=gnu11 2>/dev/null || \
		 { echo "lint failed: $$0"; exit 1; }'
	$(if $(MANUALS),mandoc -T lint -W warning $(MANUALS))

tests: $(TESTS)

test: all tests
	$(PYTHON) tests/run_tests.py $(BUILD)

# Two steps so that the compilers run in parallel only after the install.
check: install-deps
	$(MAKE) -j 8 check-format
	$(MAKE) -j 8 all tests
	$(MAKE) lint
	$(MAKE) test

demo: install-deps
	$(MAKE) -j 8 all
	$(PYTHON) tests/demo.py $(BUILD)

proto:
	cd almondward && protoc-c --c_out=. almondward.proto

clean:
	rm -rf $(BUILD)

.PHONY: all install-deps format check-format lint tests test bench capacity check demo proto clean
