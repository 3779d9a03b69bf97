#include "fuzz.h"
#include "rules.h"

static void
check_rule (const struct rul_table *table, const struct rul_rule *rule)
{
  struct rul_service service = rul_service (table, rule->name);
  struct rul_target target = rul_target (table, rule->name, rule->name);
  struct rul_caller caller = rul_caller (table, rule->name);
  int groups = rul_data_centre (table, rule->name).groups;

  FUZZ_CHECK (rule->who.len > 0 && rule->line > 0);
  FUZZ_CHECK (rule->name.len > 0 && rule->name.len <= RUL_NAME_MAX);
  FUZZ_CHECK (rul_find (table, rule->kind, rule->name) == rule);
  FUZZ_CHECK (service.slots >= 1 && service.slots <= 64);
  FUZZ_CHECK (service.cold_limit >= 1 && service.cold_limit <= service.slots);
  FUZZ_CHECK (service.deadline >= RW_MSEC && service.deadline <= 60 * RW_SEC);
  FUZZ_CHECK (service.hedge_percent >= 0 && service.hedge_percent <= 100);
  FUZZ_CHECK (target.slots >= 1 && target.slots <= 64);
  FUZZ_CHECK (target.cold_limit >= 1 && target.cold_limit <= target.slots);
  FUZZ_CHECK (caller.share >= 1 && caller.queue_max >= 1);
  FUZZ_CHECK (groups >= 1 && groups <= 4096);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct rul_table table;
  struct rul_error error;
  char text[256];
  int rc = rul_parse (&table, (struct rw_str){ (const char *)data, size },
                      &error);

  if (rc < 0)
    {
      FUZZ_CHECK (error.line >= 1 && error.column >= 1);
      FUZZ_CHECK (error.expected[0] != '\0' && table.rule_count == 0);
      rul_error_format (&error, text, sizeof text);
      return 0;
    }
  for (size_t i = 0; i < table.rule_count; i++)
    check_rule (&table, &table.rules[i]);
  rul_finish (&table);
  return 0;
}

FUZZ_SAMPLES ("data-centre isando-b out groups=16 # thandi: power\n"
              "\n# comment\ntarget pd-01 leaving slots=3 cold=2 # x\n",
              "service r kind=once deadline=2s hedge=3% top=7 slots=4 "
              "connections=200 cold=2 ramp=9 # sipho\r\n"
              "caller foreman share=40 queue=500 # \xc3\xa9: x\n")
