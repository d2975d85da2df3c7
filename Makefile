# Builds ridgeridge, its stand-ins, its tests and its measurements.
#   make            the program and the tools
#   make tests      the test programs
#   make SANITIZE=1 the same under build-asan with ASan and UBSan
PACKAGES := libtirpc popt json-c libsodium libxxhash glib-2.0 zlib
# Compiled against, and loaded only by the commands that need them: library.h.
LOADED := libulfius libcurl libmicrohttpd
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
	$(shell pkg-config --cflags $(PACKAGES) $(LOADED))
LDLIBS := $(shell pkg-config --libs $(PACKAGES)) -lev -lm -lpthread
# The stand-ins call these directly.
LOADED_LIBS := $(shell pkg-config --libs $(LOADED))
# Name of the shared object that a library's file for the linker stands for.
object_of = $(shell objdump -p $$($(CC) -print-file-name=lib$(1).so) | \
	sed -n 's/^ *SONAME *//p')
GENERATED_CFLAGS := -Wno-unused-variable -Wno-error -Wno-missing-prototypes

SOURCES := $(wildcard *.c platform/*.c)
# Everything but main() is shared with the tests and the tools.
SHARED := $(filter-out ridgeridge.c,$(SOURCES))
OBJECTS := $(SHARED:%.c=$(BUILD)/%.o) $(BUILD)/generated/wire_xdr.o
TOOLS := $(patsubst tools/%.c,$(BUILD)/%,$(wildcard tools/*.c))
# The simulated-time driver and the loads over it, for tests and bench.
LOAD := $(patsubst %.c,$(BUILD)/%.o,$(filter-out tests/test-%,$(wildcard tests/*.c)))
TESTS := $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/test-*.c))

# What may leave a safeguard out, built once more for the tests: fault.h.
FAULTY := $(patsubst %.c,$(BUILD)/faulty/%.o,$(shell grep -l '"fault.h"' *.c))

SOAK := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tools/soak/*.c platform/standin/*.c))

all: $(BUILD)/ridgeridge $(TOOLS) $(BUILD)/soak

tests: $(TESTS)

# The program alone, as deployments build it.
program: $(BUILD)/ridgeridge

$(BUILD)/ridgeridge: $(BUILD)/ridgeridge.o $(OBJECTS)
	@$(CC) $(OPTIMIZE) -pie -o $@ $^ $(LDLIBS)

$(BUILD)/lib.a: $(OBJECTS)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/soak: $(SOAK) $(BUILD)/lib.a
	@$(CC) $(OPTIMIZE) -pie -o $@ $^ $(LOADED_LIBS) $(LDLIBS)

$(BUILD)/%: $(BUILD)/tools/%.o $(LOAD) $(BUILD)/lib.a
	@$(CC) $(OPTIMIZE) -pie -o $@ $^ $(LOADED_LIBS) $(LDLIBS)

# Ways of choosing that only trials have: fault.h.
$(BUILD)/bench-steer: $(BUILD)/tools/bench-steer.o $(LOAD) $(FAULTY) $(BUILD)/lib.a
	@$(CC) $(OPTIMIZE) -pie -o $@ $^ $(LOADED_LIBS) $(LDLIBS)

$(BUILD)/test-%: $(BUILD)/tests/test-%.o $(LOAD) $(FAULTY) $(BUILD)/lib.a
	@$(CC) $(OPTIMIZE) -pie -o $@ $^ $(LDLIBS)

$(BUILD)/library.o: CFLAGS += \
	-DLIBRARY_ULFIUS_OBJECT='"$(call object_of,ulfius)"' \
	-DLIBRARY_CURL_OBJECT='"$(call object_of,curl)"' \
	-DLIBRARY_MICROHTTPD_OBJECT='"$(call object_of,microhttpd)"'

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

# The fuzzing target, by clang; see tests/fuzz-input.c.
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
.SECONDARY: $(LOAD) $(FAULTY)
.PRECIOUS: $(BUILD)/tests/%.o $(BUILD)/tools/%.o
-include $(wildcard $(BUILD)/*.d $(BUILD)/*/*.d $(BUILD)/*/*/*.d)
