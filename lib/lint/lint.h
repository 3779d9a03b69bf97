/* Findings about a document of the operators' configuration: errors of its
   decoding, entries that have no effect or contradict each other, and the
   effects of a change.  Nothing here reads a file or prints.  The names of
   fields are arguments, as only platform/ knows them.  */

#ifndef LIN_LINT_H
#define LIN_LINT_H

#include "cat.h"

enum lin_severity
{
  LIN_ERROR,   /* the document is refused */
  LIN_WARNING, /* the document is accepted, but a part of it has no effect, or
                  not the one that it seems to have */
  LIN_CHANGE,  /* a difference between two documents */
  LIN_EFFECT   /* what a difference does */
};
#define LIN_SEVERITIES 4

struct lin_finding
{
  enum lin_severity severity;
  struct rw_str path; /* "routes[3].timeoutMs"; empty: the whole document */
  struct rw_str message;
  size_t offset; /* in the text, if it is no JSON; else LIN_NO_OFFSET */
};
#define LIN_NO_OFFSET SIZE_MAX

struct lin_findings
{
  struct rw_arena arena; /* holds the strings */
  struct rw_buf scratch;
  struct lin_finding *list;
  size_t len;
  size_t cap;
  size_t max[LIN_SEVERITIES];   /* that are stored */
  size_t count[LIN_SEVERITIES]; /* all, also those that were not stored */
};

/* A place in a document: a field of the object PARENT, or the element INDEX of
   the array PARENT.  Places are on the stack, so that a path is formatted only
   if there is a finding.  */
struct lin_path
{
  const struct lin_path *parent; /* null: the document itself */
  const char *field;             /* null: an element */
  size_t index;
};

/* Prepares empty FINDINGS that store up to MAX_ERRORS errors, and up to
   MAX_OTHERS findings of each other severity.  */
void lin_init (struct lin_findings *findings, size_t max_errors,
               size_t max_others);
void lin_finish (struct lin_findings *findings);
/* Adds a finding at PATH, where null is the whole document.  The message must
   not contain a key of an organisation.  */
void lin_add (struct lin_findings *findings, enum lin_severity severity,
              const struct lin_path *path, const char *fmt, ...)
    __attribute__ ((format (printf, 4, 5)));
/* Adds a finding at the byte OFFSET of the text.  */
void lin_add_at (struct lin_findings *findings, enum lin_severity severity,
                 size_t offset, const char *message);
/* Appends FINDING to OUT as "PATH: MESSAGE".  */
void lin_write (const struct lin_finding *finding, struct rw_buf *out);
/* Appends PATH to OUT.  A field that is no plain word is quoted:
   a["b c"][0].  */
void lin_write_path (const struct lin_path *path, struct rw_buf *out);

/* The names of the fields that findings refer to.  */
struct lin_fields
{
  const char *version;
  const char *routes;
  const char *host;
  const char *prefix;
  const char *priority; /* of routes and organisations */
  const char *timeout;
  const char *aim;
  const char *service;
  const char *split;
  const char *weight;
  const char *gather;
  const char *min_share;
  const char *is_public;
  const char *services;
  const char *organisations;
  const char *keys;
  const char *rate;
  const char *burst;
};

/* Adds a warning for each entry of CONFIG that never takes effect, and for
   limits that contradict each other.  QUOTA_WINDOW is the time over which the
   limits of organisations are checked, above 0.  */
void lin_check (const struct cat_config *config,
                const struct lin_fields *fields, rw_time quota_window,
                struct lin_findings *findings);

/* Adds an effect for each difference between the configurations BEFORE and
   AFTER that changes who may send requests, how many, or which targets get
   them.  Paths are those of the document of AFTER.  If FINDINGS has changes
   already, adds a warning unless the version of AFTER is the higher one.  */
void lin_compare (const struct cat_config *before,
                  const struct cat_config *after,
                  const struct lin_fields *fields,
                  struct lin_findings *findings);

/* Bytes of the text that stands for a key, with its NUL.  */
#define LIN_KEY_TEXT_BYTES 9
/* Writes the first hexadecimal digits of DIGEST to TEXT.  */
void lin_write_key (const struct org_digest *digest, char *text);

/* The structure of a JSON text, to find the position of a path in it.  */
struct lin_node
{
  size_t start; /* offset of the value */
  size_t key;   /* offset of the opening quote of its name, SIZE_MAX: none */
  uint32_t parent;
  uint32_t next; /* sibling; 0: none */
  uint32_t first_child;
  uint32_t last_child;
};

#define LIN_PATH_DEPTH 8

struct lin_text
{
  struct rw_str text;
  struct lin_node *nodes; /* heap */
  size_t len;
  size_t cap;
  size_t *lines; /* heap; offset of the start of each line */
  size_t line_count;
  size_t line_cap;
  /* The object or array last searched at each depth: many paths into one are
     found without walking through it each time.  */
  struct
  {
    uint32_t parent;
    uint32_t node;
    struct rw_str field;  /* points into a path of the last call's caller */
    size_t searches;      /* of the object PARENT */
    struct rw_map fields; /* node numbers by the hash of the name; may be
                             empty */
    uint32_t *elements;   /* heap; of the array PARENT */
    size_t element_count;
    size_t element_cap;
  } last[LIN_PATH_DEPTH];
};

struct lin_place
{
  size_t line;   /* from 1 */
  size_t column; /* in bytes, from 1 */
};

/* Reads the structure of TEXT, which must outlive INDEX.  Any bytes are
   allowed; of text that is not JSON, the structure is that of its brackets,
   commas, colons and strings.  */
void lin_text_init (struct lin_text *index, struct rw_str text);
void lin_text_finish (struct lin_text *index);
/* Returns the offset of the value at PATH, or of the nearest value around it
   that the text has.  The bytes of PATH must stay until the next call or the
   end of INDEX.  */
size_t lin_text_find (struct lin_text *index, struct rw_str path);
/* Returns the line and column of the byte OFFSET of the text; an offset beyond
   its end counts as the end.  */
struct lin_place lin_text_place (const struct lin_text *index, size_t offset);

#endif
