/* Functions shared by the parser and the table, private to lib/rules.  */

#ifndef RUL_TABLE_H
#define RUL_TABLE_H

#include "rules.h"

void rul_set_defaults (struct rul_rule *rule);
rw_time rul_default_deadline (enum rul_service_kind kind);
void rul_index_init (struct rul_table *table, size_t rule_count);
bool rul_index_add (struct rul_table *table, size_t position);

#endif
