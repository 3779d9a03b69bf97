# Builds $(BUILD)/lib$(LIB).a from SRCS, and with "make tests" one program for
# each file of TESTS below $(BUILD)/test.
include $(ROOT)/mk/common.mk

OBJDIR = $(BUILD)/lib/$(LIB)
OBJS = $(SRCS:%.c=$(OBJDIR)/%.o)
TESTBINS = $(TESTS:%.c=$(BUILD)/test/%)

all: $(BUILD)/lib$(LIB).a

tests: $(TESTBINS)

$(BUILD)/lib$(LIB).a: $(OBJS)
	$(Q)rm -f $@
	$(Q)ar rcs $@ $(OBJS)

$(OBJDIR)/%.o: %.c Makefile
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) $(EXTRA_CFLAGS) -c -o $@ $<

# Tests may use every library.
$(BUILD)/test/%: %.c $(BUILT_LIBS)
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) $(foreach l,$(LIBDIRS),-I$(ROOT)/$(call libdir,$(l))) \
		-I$(ROOT)/tests/unit \
		$(EXTRA_CFLAGS) -o $@ $< $(LINK_LIBS) -lcmocka

-include $(OBJS:.o=.d) $(TESTBINS:=.d)
.PHONY: all tests
