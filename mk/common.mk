# Settings shared by every Makefile of the workspace.  ROOT is the top
# directory, relative to the Makefile that includes this file.

ROOT ?= ../..
# opt: optimized; asan: address and undefined behaviour sanitizers;
# fuzz: clang with the coverage that libFuzzer needs.
VARIANT ?= opt
# BUILD_ROOT: where everything that is built goes.
BUILD_ROOT ?= build
BUILD = $(ROOT)/$(BUILD_ROOT)/$(VARIANT)
CC_opt = gcc
CC_asan = gcc
CC_fuzz = clang
CC = $(CC_$(VARIANT))

PKGS = libuv libh2o libtirpc jansson libxxhash
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) \
	-llog4c -lhttp_parser -lssl -lcrypto -lz -lm

# Libraries in dependency order: each may use only those before it.
# platform/ lies at the top: it alone knows the users' names.
libdir = $(if $(filter platform,$(1)),platform,lib/$(1))
LIBDIRS = base account rules topo wire stat trace conf member lease admit route \
	query once node model log h1 net \
	org cat lint extra bucket quarantine capacity steer shed fair gather subquery follow event reach stop \
	replica gossip quota platform
# A library sees the headers of itself and of those before it.
VISIBLE = $(if $(LIB),$(call upto,$(LIB),$(LIBDIRS)),$(LIBDIRS))
upto = $(if $(2),$(firstword $(2)) $(if $(filter $(1),$(firstword $(2))),,\
	$(call upto,$(1),$(wordlist 2,$(words $(2)),$(2)))))

WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wpointer-arith -Wwrite-strings
SAN = -fsanitize=address,undefined -fno-sanitize-recover=undefined
CFLAGS_opt = -O2 -g
CFLAGS_asan = -O1 -g -fno-omit-frame-pointer $(SAN)
CFLAGS_fuzz = -O1 -g -fno-omit-frame-pointer $(SAN) \
	-fsanitize=fuzzer-no-link
CFLAGS = -std=gnu11 $(WARN) $(CFLAGS_$(VARIANT)) -D_GNU_SOURCE \
	-DH2O_USE_LIBUV=1 $(foreach l,$(VISIBLE),-I$(ROOT)/$(call libdir,$(l))) \
	$(PKG_CFLAGS) -MMD -MP
BUILT_LIBS = $(wildcard $(LIBDIRS:%=$(BUILD)/lib%.a))
LINK_LIBS = -Wl,--start-group $(BUILT_LIBS) -Wl,--end-group $(PKG_LIBS)

# "make V=1" shows the commands.
Q = $(if $(V),,@)
