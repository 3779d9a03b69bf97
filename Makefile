# redwingfork: top-level targets.
#
#   make          build everything into build/opt
#   make demo     install packages, build, run the demonstration
#   make check    install packages, build, run all tests and linters
#   make bench    run the experiments, write docs/measurements
#   make format   format the sources in place
#   make install  install programs and manual pages below DESTDIR

ROOT = .
include mk/common.mk

PREFIX ?= /usr/local
SUB = $(MAKE) --no-print-directory VARIANT=$(VARIANT) BUILD_ROOT=$(BUILD_ROOT)
LIBS = $(LIBDIRS)
PROGS = $(patsubst %/Makefile,%,$(wildcard \
	cmd/*/Makefile bench/*/Makefile tests/*/Makefile))

all: build

build: $(LIBS:%=lib-%)
	@+$(SUB) programs

programs: $(PROGS:%=prog-%)

tests: build
	@+$(SUB) test-programs

test-programs: $(LIBS:%=libtest-%) $(PROGS:%=progtest-%)

$(LIBS:%=lib-%): lib-%:
	@+$(SUB) -C $(call libdir,$*)

$(PROGS:%=prog-%): prog-%:
	@+$(SUB) -C $*

$(LIBS:%=libtest-%): libtest-%:
	@+$(SUB) -C $(call libdir,$*) tests

$(PROGS:%=progtest-%): progtest-%:
	@+$(SUB) -C $* tests

# The daemon for the users' platform, without the other programs.
rwfront: $(LIBS:%=lib-%)
	@+$(SUB) -C cmd/rwfront

deps:
	@sh mk/deps.sh

check:
	@sh mk/check.sh

demo: deps
	@+$(SUB) -j$$(nproc) build
	@sh tests/demo.sh
	@sh tests/demo-platform.sh

bench: deps
	@+$(SUB) -j$$(nproc) build
	@sh mk/bench.sh

format:
	@sh mk/format.sh -i

install: build
	install -d $(DESTDIR)$(PREFIX)/sbin $(DESTDIR)$(PREFIX)/bin
	install -m 755 $(BUILD)/bin/rwfd $(DESTDIR)$(PREFIX)/sbin
	install -m 755 $(BUILD)/bin/rwfctl $(BUILD)/bin/rwfload \
		$(DESTDIR)$(PREFIX)/bin
	for s in 1 5 8; do \
		d=$(DESTDIR)$(PREFIX)/share/man/man$$s; install -d $$d; \
		for f in cmd/*/*.$$s lib/*/*.$$s; do \
			test ! -f $$f || install -m 644 $$f $$d; \
		done; \
	done

clean:
	rm -rf build


.PHONY: all rwfront build programs tests test-programs deps check demo bench format \
	install clean $(LIBS:%=lib-%) $(PROGS:%=prog-%) \
	$(LIBS:%=libtest-%) $(PROGS:%=progtest-%)
