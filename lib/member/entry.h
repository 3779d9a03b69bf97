/* Internal functions of lib/member.  */

#ifndef MEM_ENTRY_H
#define MEM_ENTRY_H

#include "member.h"

struct mem_entry *mem_entry_find (const struct mem_members *members,
                                  uint64_t id);
bool mem_entry_is_usable (const struct mem_entry *entry);
void mem_entry_set_state (struct mem_members *members, struct mem_entry *entry,
                          enum mem_state state, rw_time now);
unsigned int mem_retransmit_limit (const struct mem_members *members);
void mem_probe_order_build (struct mem_members *members);

#endif
