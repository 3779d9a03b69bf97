#include "fuzz.h"
#include "topo.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct top_vms vms;
  struct rw_err err;
  size_t in_dcs = 0;

  if (top_vms_init (&vms, 1, (struct rw_str){ (const char *)data, size }, &err)
      < 0)
    return 0;
  for (size_t i = 0; i < vms.vm_count; i++)
    {
      const struct top_vm *vm = &vms.vms[i];
      struct top_electorate electorate;

      FUZZ_CHECK (vm->name.len > 0 && vm->name.len <= TOP_NAME_MAX);
      FUZZ_CHECK (top_vm_by_name (&vms, vm->name) == vm);
      top_electorate (&vms, vm->dc, vm->region, 8, i % 8, &electorate);
      FUZZ_CHECK (electorate.member_count <= TOP_ELECTORATE_MAX);
      top_is_watcher (&vms, RW_LIT ("rules"), vm, NULL, NULL);
    }
  for (size_t i = 0; i < vms.dc_count; i++)
    in_dcs += vms.dcs[i].vm_count;
  FUZZ_CHECK (in_dcs == vms.vm_count);
  top_vms_finish (&vms);
  return 0;
}

FUZZ_SAMPLES (
    "{\"vms\":[{\"name\":\"mid-1\",\"dc\":\"midrand-a\",\"addr\":"
    "\"127.0.0.1\",\"rpc\":7001,\"state\":\"live\"},{\"name\":\"mid-2\","
    "\"dc\":\"midrand-a\",\"addr\":\"::1\",\"rpc\":7002,\"state\":"
    "\"leaving\",\"region\":\"gauteng\"}]}")
