# Builds $(BUILD)/bin/$(PROG) from SRCS and the workspace's libraries, and with
# "make tests" one program for each file of TESTS below $(BUILD)/test.
include $(ROOT)/mk/common.mk

OBJDIR = $(BUILD)/prog/$(PROG)
OBJS = $(SRCS:%.c=$(OBJDIR)/%.o)
TESTBINS = $(TESTS:%.c=$(BUILD)/test/%)

all: $(BUILD)/bin/$(PROG)

tests: $(TESTBINS)

$(BUILD)/bin/$(PROG): $(OBJS) $(BUILT_LIBS)
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS_$(VARIANT)) -o $@ $(OBJS) $(LINK_LIBS) $(EXTRA_LIBS)

$(OBJDIR)/%.o: %.c Makefile
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) $(EXTRA_CFLAGS) -c -o $@ $<

# TEST_OBJS: the program's objects that its tests link.
$(BUILD)/test/%: %.c $(TEST_OBJS) $(BUILT_LIBS)
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) $(EXTRA_CFLAGS) -I$(ROOT)/tests/unit -o $@ $< \
		$(TEST_OBJS) $(LINK_LIBS) \
		$(EXTRA_LIBS) -lcmocka

-include $(OBJS:.o=.d) $(TESTBINS:=.d)
.PHONY: all tests
