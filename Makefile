# Builds ridgeridge, its tests, benchmarks and simulators.
#   make            the program and the tools
#   make tests      the test programs
#   make SANITIZE=1 either of them in build-asan with ASan and UBSan
PACKAGES := libtirpc popt json-c libsodium libxxhash glib-2.0 zlib
# Loaded by dlopen(3) at run time; see library.h.
DLOPEN := libulfius libcurl libmicrohttpd
BUILD := build
OPTIMIZE := -O2
ifdef SANITIZE
BUILD := build-asan
OPTIMIZE := -O1 -fsanitize=address,undefined -fno-sanitize-recover=undefined \
	-fno-omit-frame-pointer
endif
CFLAGS := -std=c11 -D_GNU_SOURCE -DU_DISABLE_JANSSON -g $(OPTIMIZE) \
	-Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	-Wno-cast-function-type -Wno-format-truncation -fPIE \
	$(shell pkg-config --cflags $(PACKAGES) $(DLOPEN))
LDLIBS := $(shell pkg-config --libs $(PACKAGES)) -lev -lm -lpthread
# The tools link these directly.
DLOPEN_LIBS := $(shell pkg-config --libs $(DLOPEN))
# SONAME of the library that the linker finds for -l$(1).
soname_of = $(shell objdump -p $$($(CC) -print-file-name=lib$(1).so) | \
	sed -n 's/^ *SONAME *//p')
GENERATED_CFLAGS := -Wno-unused-variable -Wno-error -Wno-missing-prototypes

SOURCES := $(wildcard *.c platform/*.c)
# Everything but main(), also linked into the tests and the tools.
LIB_SOURCES := $(filter-out ridgeridge.c,$(SOURCES))
OBJECTS := $(LIB_SOURCES:%.c=$(BUILD)/%.o) $(BUILD)/generated/wire_xdr.o
TOOLS := $(patsubst tools/%.c,$(BUILD)/%,$(wildcard tools/*.c))
# The discrete-event simulators and workloads of tests and benchmarks.
SIMULATOR := $(patsubst %.c,$(BUILD)/%.o,$(filter-out tests/test-%,$(wildcard tests/*.c)))
TESTS := $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/test-*.c))

# Sources with the switches of fault.h, compiled again for the tests.
FAULT_OBJECTS := $(patsubst %.c,$(BUILD)/faulty/%.o,$(shell grep -l '"fault.h"' *.c))

SOAK := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tools/soak/*.c platform/standin/*.c))

all: $(BUILD)/ridgeridge $(TOOLS) $(BUILD)/soak

tests: $(TESTS)

# The program without the tools.
program: $(BUILD)/ridgeridge

$(BUILD)/ridgeridge: $(BUILD)/ridgeridge.o $(OBJECTS)
	@$(CC) $(OPTIMIZE) -pie -o $@ $^ $(LDLIBS)

$(BUILD)/lib.a: $(OBJECTS)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/soak: $(SOAK) $(BUILD)/lib.a
	@$(CC) $(OPTIMIZE) -pie -o $@ $^ $(DLOPEN_LIBS) $(LDLIBS)

$(BUILD)/%: $(BUILD)/tools/%.o $(SIMULATOR) $(BUILD)/lib.a
	@$(CC) $(OPTIMIZE) -pie -o $@ $^ $(DLOPEN_LIBS) $(LDLIBS)

# Linked with the switches of fault.h.
$(BUILD)/bench-steer: $(BUILD)/tools/bench-steer.o $(SIMULATOR) $(FAULT_OBJECTS) $(BUILD)/lib.a
	@$(CC) $(OPTIMIZE) -pie -o $@ $^ $(DLOPEN_LIBS) $(LDLIBS)

$(BUILD)/test-%: $(BUILD)/tests/test-%.o $(SIMULATOR) $(FAULT_OBJECTS) $(BUILD)/lib.a
	@$(CC) $(OPTIMIZE) -pie -o $@ $^ $(LDLIBS)

$(BUILD)/library.o: CFLAGS += \
	-DLIBRARY_ULFIUS_OBJECT='"$(call soname_of,ulfius)"' \
	-DLIBRARY_CURL_OBJECT='"$(call soname_of,curl)"' \
	-DLIBRARY_MICROHTTPD_OBJECT='"$(call soname_of,microhttpd)"'

$(BUILD)/generated/%.o: generated/%.c
	@mkdir -p $(dir $@)
	@$(CC) $(CFLAGS) $(GENERATED_CFLAGS) -I. -Itests -MMD -c -o $@ $<

$(BUILD)/tests/%.o $(BUILD)/tools/bench-steer.o: CFLAGS += -DFAULT_TRIALS

$(BUILD)/faulty/%.o: %.c
	@mkdir -p $(dir $@)
	@$(CC) $(CFLAGS) -DFAULT_TRIALS -I. -Itests -MMD -c -o $@ $<

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	@$(CC) $(CFLAGS) -I. -Itests -MMD -c -o $@ $<

# libFuzzer target, built by clang: tests/fuzz-input.c.
fuzz:
	@mkdir -p build-fuzz/found
	@$(MAKE) --no-print-directory BUILD=build-fuzz CC=clang \
		OPTIMIZE='-O1 -fsanitize=fuzzer-no-link,address,undefined -Wno-unknown-warning-option -Wno-error' \
		build-fuzz/fuzz-input

$(BUILD)/fuzz-input: $(BUILD)/tests/fuzz-input.o $(BUILD)/lib.a
	@$(CC) $(OPTIMIZE) -fsanitize=fuzzer -pie -o $@ $^ $(LDLIBS)

PREFIX ?= /usr/local
install: all
	install -D -m 755 $(BUILD)/ridgeridge $(DESTDIR)$(PREFIX)/bin/ridgeridge
	install -D -m 644 docs/ridgeridge.1 \
		$(DESTDIR)$(PREFIX)/share/man/man1/ridgeridge.1
	install -D -m 644 docs/ridgeridge@.service \
		$(DESTDIR)$(PREFIX)/lib/systemd/system/ridgeridge@.service

clean:
	rm -rf build build-asan build-fuzz

.PHONY: all tests program fuzz install clean
.SECONDARY: $(SIMULATOR) $(FAULT_OBJECTS)
.PRECIOUS: $(BUILD)/tests/%.o $(BUILD)/tools/%.o
-include $(wildcard $(BUILD)/*.d $(BUILD)/*/*.d $(BUILD)/*/*/*.d)
