/* Validating access to parsed JSON, private to lib/topo.  PATH is the path of
   OBJECT in the document, such as "vms[3]", for errors; it is empty for the
   root.  All functions return 0 or a negative error number with doc->err
   filled.  */

#ifndef TOP_JSON_H
#define TOP_JSON_H

#include <jansson.h>

#include "topo.h"

/* A document being parsed.  */
struct top_doc
{
  struct rw_str key;      /* for errors */
  struct rw_arena *arena; /* of the strings */
  struct rw_err *err;     /* may be null */
};

int top_json_load (const struct top_doc *doc, struct rw_str body,
                   json_t **root);
int top_json_array (const struct top_doc *doc, const json_t *object,
                    const char *path, const char *name, size_t max,
                    json_t **array);
int top_json_str (const struct top_doc *doc, const json_t *object,
                  const char *path, const char *name, size_t max,
                  struct rw_str *value);
int top_json_name (const struct top_doc *doc, const json_t *object,
                   const char *path, const char *name, struct rw_str *value);
int top_json_optional_name (const struct top_doc *doc, const json_t *object,
                            const char *path, const char *name,
                            struct rw_str *value);
int top_json_addr (const struct top_doc *doc, const json_t *object,
                   const char *path, struct rw_str *value);
int top_json_port (const struct top_doc *doc, const json_t *object,
                   const char *path, const char *name, uint16_t *value);
int top_json_fail (const struct top_doc *doc, int code, const char *path,
                   const char *name, const char *problem);

#endif
