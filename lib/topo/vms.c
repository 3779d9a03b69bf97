#include "topo.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "json.h"

#define VMS_MAX 10000 /* four times the VMs expected in two years */
#define ARENA_BLOCK_SIZE 16384

static int
parse_state (const struct top_doc *doc, const json_t *item, const char *path,
             enum top_vm_state *state)
{
  struct rw_str text;
  int rc = top_json_name (doc, item, path, "state", &text);

  if (rc != 0)
    return rc;
  if (rw_str_eq_cstr (text, "live"))
    *state = TOP_VM_LIVE;
  else if (rw_str_eq_cstr (text, "leaving"))
    *state = TOP_VM_LEAVING;
  else
    return top_json_fail (doc, RW_E_PARSE, path, "state",
                          "expected \"live\" or \"leaving\"");
  return 0;
}

static int
parse_vm (const struct top_doc *doc, const json_t *item, size_t index,
          struct top_vm *vm)
{
  char path[32];
  int rc;

  snprintf (path, sizeof path, "vms[%zu]", index);
  if ((rc = top_json_name (doc, item, path, "name", &vm->name)) != 0
      || (rc = top_json_name (doc, item, path, "dc", &vm->dc)) != 0
      || (rc = top_json_optional_name (doc, item, path, "region", &vm->region))
             != 0
      || (rc = top_json_addr (doc, item, path, &vm->addr)) != 0
      || (rc = top_json_port (doc, item, path, "rpc", &vm->rpc_port)) != 0)
    return rc;
  vm->id = rw_hash (vm->name);
  return parse_state (doc, item, path, &vm->state);
}

static int
compare_vms (const void *a, const void *b)
{
  const struct top_vm *x = a;
  const struct top_vm *y = b;
  int order = rw_str_cmp (x->dc, y->dc);

  return order != 0 ? order : rw_str_cmp (x->name, y->name);
}

static int
compare_ids (const void *a, const void *b)
{
  const struct top_vm *x = *(const struct top_vm *const *)a;
  const struct top_vm *y = *(const struct top_vm *const *)b;

  return x->id < y->id ? -1 : x->id > y->id;
}

static int
compare_id_to_vm (const void *key, const void *element)
{
  const uint64_t *id = key;
  const struct top_vm *vm = *(const struct top_vm *const *)element;

  return *id < vm->id ? -1 : *id > vm->id;
}

/* Builds the index by id and rejects names that appear twice, which have the
   same id.  */
static int
index_by_id (const struct top_doc *doc, struct top_vms *vms)
{
  vms->by_id = rw_arena_zalloc (doc->arena, vms->vm_count, sizeof *vms->by_id);
  for (size_t i = 0; i < vms->vm_count; i++)
    vms->by_id[i] = &vms->vms[i];
  if (vms->vm_count > 1)
    qsort (vms->by_id, vms->vm_count, sizeof *vms->by_id, compare_ids);
  for (size_t i = 1; i < vms->vm_count; i++)
    if (vms->by_id[i]->id == vms->by_id[i - 1]->id)
      return rw_err_set (doc->err, RW_E_PARSE, "parse document", doc->key,
                         "vms: the name \"%.*s\" appears twice",
                         RW_STR_ARG (vms->by_id[i]->name));
  return 0;
}

/* Builds the list of data centres and checks that all VMs of a data centre are
   in the same region.  The VMs are sorted by data centre.  */
static int
index_dcs (const struct top_doc *doc, struct top_vms *vms)
{
  struct top_dc *dc = NULL;

  vms->dcs = rw_arena_zalloc (doc->arena, vms->vm_count, sizeof *vms->dcs);
  for (size_t i = 0; i < vms->vm_count; i++)
    {
      const struct top_vm *vm = &vms->vms[i];

      if (dc == NULL || !rw_str_eq (dc->name, vm->dc))
        {
          dc = &vms->dcs[vms->dc_count++];
          *dc = (struct top_dc){ .name = vm->dc,
                                 .region = vm->region,
                                 .first_vm = i };
        }
      if (!rw_str_eq (dc->region, vm->region))
        return rw_err_set (doc->err, RW_E_PARSE, "parse document", doc->key,
                           "vms: data centre \"%.*s\" is in two regions",
                           RW_STR_ARG (vm->dc));
      dc->vm_count++;
      dc->live_count += vm->state == TOP_VM_LIVE;
    }
  return 0;
}

static int
parse_vms (const struct top_doc *doc, struct top_vms *vms, const json_t *root)
{
  json_t *array;
  int rc = top_json_array (doc, root, "", "vms", VMS_MAX, &array);

  if (rc != 0)
    return rc;
  vms->vms = rw_arena_zalloc (doc->arena, json_array_size (array),
                              sizeof *vms->vms);
  for (size_t i = 0; i < json_array_size (array); i++)
    {
      rc = parse_vm (doc, json_array_get (array, i), i, &vms->vms[i]);
      if (rc != 0)
        return rc;
      vms->vm_count++;
    }
  if (vms->vm_count > 1)
    qsort (vms->vms, vms->vm_count, sizeof *vms->vms, compare_vms);
  rc = index_by_id (doc, vms);
  return rc != 0 ? rc : index_dcs (doc, vms);
}

int
top_vms_init (struct top_vms *vms, uint64_t version, struct rw_str body,
              struct rw_err *err)
{
  struct top_doc doc = { RW_LIT ("vms"), &vms->arena, err };
  json_t *root = NULL;
  int rc;

  memset (vms, 0, sizeof *vms);
  vms->version = version;
  rw_arena_init (&vms->arena, ARENA_BLOCK_SIZE);
  rc = top_json_load (&doc, body, &root);
  if (rc == 0)
    rc = parse_vms (&doc, vms, root);
  json_decref (root);
  if (rc != 0)
    top_vms_finish (vms);
  return rc;
}

/* Frees the list and makes it empty.  */
void
top_vms_finish (struct top_vms *vms)
{
  rw_arena_finish (&vms->arena);
  vms->vms = NULL;
  vms->dcs = NULL;
  vms->by_id = NULL;
  vms->vm_count = 0;
  vms->dc_count = 0;
}

const struct top_vm *
top_vm_by_name (const struct top_vms *vms, struct rw_str name)
{
  return top_vm_by_id (vms, rw_hash (name));
}

const struct top_vm *
top_vm_by_id (const struct top_vms *vms, uint64_t id)
{
  const struct top_vm **found
      = vms->vm_count == 0 ? NULL
                           : bsearch (&id, vms->by_id, vms->vm_count,
                                      sizeof *vms->by_id, compare_id_to_vm);

  return found != NULL ? *found : NULL;
}

const struct top_dc *
top_dc_by_name (const struct top_vms *vms, struct rw_str name)
{
  for (size_t i = 0; i < vms->dc_count; i++)
    if (rw_str_eq (vms->dcs[i].name, name))
      return &vms->dcs[i];
  return NULL;
}
