# makefile of madderpier
#   make        builds the library, the daemon and the command line client
#   make demo   runs a demonstration with stand-ins on loopback
#   make check  runs every test

CC = gcc
CXX = g++
BUILD = build
SAN =
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
  -Wpointer-arith -Wcast-align -Wwrite-strings
WARNXX = -Wall -Wextra
OPT = -O2 -g -fno-omit-frame-pointer
PKG = libevent glib-2.0 jansson libtirpc libcyaml evhtp lua5.4 libxxhash libzstd
CORECF := $(shell pkg-config --cflags glib-2.0)
ALLCF := $(shell pkg-config --cflags $(PKG))
LIBS := $(shell pkg-config --libs evhtp libevent jansson libtirpc libcyaml libzstd \
  glib-2.0) -lhttp_parser -lm
LUALIBS := $(shell pkg-config --libs lua5.4)

CFLAGS = -std=gnu11 $(OPT) $(WARN) $(SAN) -Werror -D_GNU_SOURCE
CXXFLAGS = -std=gnu++20 $(OPT) $(WARNXX) $(SAN) -Werror
LDFLAGS = $(SAN)

obj = $(patsubst %.c,$(BUILD)/%.o,$(wildcard $(1)/*.c))
ACCOUNT = $(call obj,account)
CORE = $(call obj,core)
CONF = $(call obj,conf)
WIRE = $(call obj,wire)
IO = $(call obj,io)
HTTP = $(call obj,http)
ROUTER = $(call obj,router)
DIALECT = $(call obj,dialect) $(call obj,platform)
LIB = $(BUILD)/libmadderpier.a

DAEMON = $(BUILD)/madderpierd
CLI = $(BUILD)/madderpier

WIRELIB = $(BUILD)/libwire.a

all: $(LIB) $(DAEMON) $(CLI)

$(LIB): $(ACCOUNT) $(CORE) $(CONF) $(ROUTER) $(HTTP)
	rm -f $@
	ar rcs $@ $^

$(WIRELIB): $(WIRE)
	rm -f $@
	ar rcs $@ $^

# core/ may include only the public headers, account/, GLib and xxhash. The
# other folders, as wire/ and io/, are not in its include path.
$(BUILD)/core/%.o: core/%.c
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) -Iinclude -Iaccount -Icore $(CORECF) -MMD -c -o $@ $<

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) -Iinclude -I. $(ALLCF) -MMD -c -o $@ $<

$(DAEMON): $(call obj,daemon) $(IO) $(DIALECT) $(WIRELIB) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(CLI): $(call obj,cli) $(BUILD)/io/http.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/standin-platform: $(BUILD)/standin/platform.o \
  $(BUILD)/standin/serve.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/standin-engine: $(BUILD)/standin/engine.o \
  $(BUILD)/standin/engine_work.o $(BUILD)/standin/engine_prefill.o \
  $(BUILD)/standin/engine_decode.o $(BUILD)/standin/model.o \
  $(BUILD)/standin/serve.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/load: $(BUILD)/bench/load.o $(BUILD)/bench/mix.o $(BUILD)/bench/caller.o \
  $(BUILD)/standin/model.o $(BUILD)/io/http.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) -lm

$(BUILD)/compare: $(BUILD)/bench/compare.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

# Compares routing policies under load; see docs/MEASURES.md for longer runs.
bench: all $(STANDINS) $(BUILD)/load $(BUILD)/compare
	scripts/compare.sh funkbuch-ost 70 12 "1 2 3" none madderpier random \
	  round_robin least_loaded two_choices

$(BUILD)/slopes: $(BUILD)/bench/slopes.o $(BUILD)/bench/slopes_run.o \
  $(BUILD)/bench/slopes_world.o $(WIRELIB) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) -lm

# Measures what one changed route costs, for docs/CAPACITY.md.
$(BUILD)/news_cost: $(BUILD)/bench/news_cost.o $(DIALECT) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

news-cost: $(BUILD)/news_cost
	$(BUILD)/news_cost 10 1400 6000 10000

# An example of a program that embeds the core.
$(BUILD)/embed: $(BUILD)/examples/embed.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

# Measures what a node costs, for docs/CAPACITY.md.
slopes: $(BUILD)/slopes
	$(BUILD)/slopes

$(BUILD)/scenario: $(BUILD)/test/scenario.o $(BUILD)/test/kept.o $(BUILD)/io/http.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) $(LUALIBS)

$(BUILD)/standin-fleet: $(BUILD)/standin/fleet.o $(BUILD)/standin/worker.o \
  $(BUILD)/standin/store.o $(BUILD)/standin/store_view.o \
  $(BUILD)/standin/store_raw.o $(BUILD)/standin/serve.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/standin-proxy: $(BUILD)/standin/proxy.o $(BUILD)/standin/serve.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/standin-quota: $(BUILD)/standin/quota.o
	$(CC) $(LDFLAGS) -o $@ $^

STANDINS = $(BUILD)/standin-platform $(BUILD)/standin-engine \
  $(BUILD)/standin-fleet $(BUILD)/standin-proxy $(BUILD)/standin-quota

demo: all $(STANDINS)
	scripts/demo.sh

# Unit tests: C++ that includes the C headers.
TESTS = $(patsubst %.cc,$(BUILD)/%.o,$(wildcard test/*.cc))

$(BUILD)/test/%.o: test/%.cc
	@mkdir -p $(dir $@)
	$(CXX) $(CXXFLAGS) -Iinclude -Iaccount -Icore -I. $(ALLCF) -MMD -c -o $@ $<

UNIT_IO = $(BUILD)/io/clock.o $(BUILD)/io/loop_lag.o $(BUILD)/io/standstill.o $(BUILD)/io/connection_limit.o $(BUILD)/io/planned_stop.o $(BUILD)/io/stop_signals.o $(BUILD)/io/path_delay.o $(BUILD)/io/intake.o $(BUILD)/io/flow_control.o $(BUILD)/io/flow_input.o $(BUILD)/io/log.o $(BUILD)/io/bad_records.o $(BUILD)/io/front.o $(BUILD)/io/close_reason.o $(BUILD)/io/front_connection.o $(BUILD)/io/front_request.o $(BUILD)/io/front_memory.o $(BUILD)/io/front_places.o $(BUILD)/io/front_response.o $(BUILD)/io/endpoint_links.o $(BUILD)/io/link_pool.o $(BUILD)/io/endpoint_call.o $(BUILD)/io/sockets.o $(BUILD)/io/store_link.o \
  $(BUILD)/io/carry_client.o $(BUILD)/io/carry_server.o $(BUILD)/io/record_stream.o \
  $(BUILD)/io/metrics.o $(BUILD)/io/news_codec.o $(BUILD)/io/load_exchange.o $(BUILD)/io/datagram.o $(BUILD)/io/http.o

$(BUILD)/unit: $(TESTS) $(BUILD)/daemon/settings.o $(UNIT_IO) $(BUILD)/cli/trace.o $(DIALECT) $(WIRELIB) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ -lgtest -lgtest_main $(LIBS) -lpthread

SOURCES = $(wildcard include/*.h account/*.[ch] core/*.[ch] conf/*.[ch] wire/*.[ch] io/*.[ch] \
  http/*.[ch] router/*.[ch] dialect/*.[ch] platform/*.[ch] \
  daemon/*.[ch] cli/*.[ch] standin/*.[ch] bench/*.[ch] examples/*.c \
  test/*.cc test/*.[ch] test/tools/*.cc test/fuzz/*.c)

format:
	clang-format -i $(SOURCES)

lint:
	clang-format --dry-run -Werror $(SOURCES)
	printf '%s\n' $(filter %.c,$(SOURCES)) | xargs -P 8 -n 4 sh -c \
	  'clang-tidy --quiet "$$@" -- -std=gnu11 -D_GNU_SOURCE -Iinclude \
	  -Iaccount -Icore -I. $(ALLCF) 2>/dev/null' lint

# Prints the whole fault matrix as a table, for docs/PROOF.md.
$(BUILD)/test/tools/%.o: test/tools/%.cc
	@mkdir -p $(dir $@)
	$(CXX) $(CXXFLAGS) -Iinclude -Iaccount -Icore -I. $(ALLCF) -MMD -c -o $@ $<

$(BUILD)/matrix: $(BUILD)/test/tools/matrix_table.o $(BUILD)/test/matrix.o \
  $(BUILD)/test/sim.o $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ $(LIBS) -lpthread

matrix: $(BUILD)/matrix
	$(BUILD)/matrix

# Fuzz targets (libFuzzer) for what reads external input; see scripts/fuzz.sh.
FUZZCF = -fsanitize=fuzzer-no-link,address,undefined,float-cast-overflow \
  -fno-sanitize-recover=undefined,float-cast-overflow
FUZZ = $(patsubst test/fuzz/%.c,$(BUILD)/fuzz_%,$(wildcard test/fuzz/*.c))

$(BUILD)/fuzz_%: $(BUILD)/test/fuzz/%.o $(BUILD)/daemon/settings.o \
  $(BUILD)/io/news_codec.o $(BUILD)/io/record_stream.o $(DIALECT) \
  $(WIRELIB) $(LIB)
	clang -fsanitize=fuzzer,address,undefined,float-cast-overflow -o $@ $^ $(LIBS)

fuzz:
	+$(MAKE) CC=clang WARN=-w SAN="$(FUZZCF)" fuzzers

fuzzers: $(FUZZ)

# The programs that scenarios run.
processes: all $(STANDINS) $(BUILD)/scenario

# Every unit test without and with sanitizers, then the scenarios, the soak and
# the fuzz targets with sanitizers.
check: processes $(BUILD)/embed
	+scripts/check.sh

clean:
	rm -rf build build-san build-fuzz

.PHONY: all clean demo check processes bench slopes news-cost matrix lint format fuzz \
  fuzzers
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
