#include "json.h"

#include <arpa/inet.h>

/* Sets the error "PATH.NAME: PROBLEM" for the document and returns CODE.  */
int
top_json_fail (const struct top_doc *doc, int code, const char *path,
               const char *name, const char *problem)
{
  return rw_err_set (doc->err, code, "parse document", doc->key, "%s%s%s: %s",
                     path, path[0] != '\0' && name[0] != '\0' ? "." : "", name,
                     problem);
}

/* Parses BODY, which must be an object of at most TOP_DOC_MAX bytes without
   duplicate keys.  The caller releases *ROOT with json_decref.  */
int
top_json_load (const struct top_doc *doc, struct rw_str body, json_t **root)
{
  json_error_t error;

  if (body.len > TOP_DOC_MAX)
    return top_json_fail (doc, RW_E_RANGE, "document", "", "longer than 1 MB");
  *root = json_loadb (body.ptr, body.len, JSON_REJECT_DUPLICATES, &error);
  if (*root == NULL)
    return rw_err_set (doc->err, RW_E_PARSE, "parse document", doc->key,
                       "line %d, column %d: %.100s", error.line, error.column,
                       error.text);
  if (json_is_object (*root))
    return 0;
  json_decref (*root);
  *root = NULL;
  return top_json_fail (doc, RW_E_PARSE, "document", "", "expected an object");
}

/* Finds the array NAME of at most MAX elements.  The reference is borrowed. */
int
top_json_array (const struct top_doc *doc, const json_t *object,
                const char *path, const char *name, size_t max, json_t **array)
{
  *array = json_object_get (object, name);
  if (!json_is_array (*array))
    return top_json_fail (doc, RW_E_PARSE, path, name, "expected an array");
  if (json_array_size (*array) > max)
    return top_json_fail (doc, RW_E_RANGE, path, name, "too many elements");
  return 0;
}

/* Copies the string NAME of 1 to MAX bytes into the arena.  */
int
top_json_str (const struct top_doc *doc, const json_t *object,
              const char *path, const char *name, size_t max,
              struct rw_str *value)
{
  const json_t *item = json_object_get (object, name);
  struct rw_str text;

  if (!json_is_string (item))
    return top_json_fail (doc, RW_E_PARSE, path, name, "expected a string");
  text
      = (struct rw_str){ json_string_value (item), json_string_length (item) };
  if (text.len == 0 || text.len > max)
    return top_json_fail (doc, RW_E_RANGE, path, name,
                          "the string is empty or too long");
  *value = rw_arena_str (doc->arena, text);
  return 0;
}

static bool
is_name_char (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

/* Copies the string NAME, which must be a name: 1 to TOP_NAME_MAX letters,
   digits and "-_.", because names appear in log lines, metrics and rules.  */
int
top_json_name (const struct top_doc *doc, const json_t *object,
               const char *path, const char *name, struct rw_str *value)
{
  int rc = top_json_str (doc, object, path, name, TOP_NAME_MAX, value);

  for (size_t i = 0; rc == 0 && i < value->len; i++)
    if (!is_name_char (value->ptr[i]))
      rc = top_json_fail (doc, RW_E_PARSE, path, name,
                          "expected letters, digits and -_.");
  return rc;
}

/* Like top_json_name, but the value is empty if NAME is absent.  */
int
top_json_optional_name (const struct top_doc *doc, const json_t *object,
                        const char *path, const char *name,
                        struct rw_str *value)
{
  *value = RW_LIT ("");
  if (json_object_get (object, name) == NULL)
    return 0;
  return top_json_name (doc, object, path, name, value);
}

/* Copies the numeric IP address "addr".  */
int
top_json_addr (const struct top_doc *doc, const json_t *object,
               const char *path, struct rw_str *value)
{
  unsigned char binary[sizeof (struct in6_addr)];
  int rc
      = top_json_str (doc, object, path, "addr", INET6_ADDRSTRLEN - 1, value);
  const char *text;

  if (rc != 0)
    return rc;
  text = rw_arena_cstr (doc->arena, *value);
  if (inet_pton (AF_INET, text, binary) == 1
      || inet_pton (AF_INET6, text, binary) == 1)
    return 0;
  return top_json_fail (doc, RW_E_PARSE, path, "addr",
                        "expected a numeric IP address");
}

/* Reads the port NAME, 1 to 65535.  */
int
top_json_port (const struct top_doc *doc, const json_t *object,
               const char *path, const char *name, uint16_t *value)
{
  const json_t *item = json_object_get (object, name);
  json_int_t port;

  if (!json_is_integer (item))
    return top_json_fail (doc, RW_E_PARSE, path, name, "expected an integer");
  port = json_integer_value (item);
  if (port < 1 || port > 65535)
    return top_json_fail (doc, RW_E_RANGE, path, name, "expected 1 to 65535");
  *value = (uint16_t)port;
  return 0;
}
