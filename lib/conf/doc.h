/* The state of one document, private to lib/conf.  */

#ifndef CNF_DOC_H
#define CNF_DOC_H

#include "conf.h"

struct cnf_doc
{
  char key[CNF_KEY_MAX + 1];
  uint64_t version; /* 0: none yet */
  char *body;
  size_t len;                /* bytes of BODY */
  uint64_t rejected_version; /* last version that was invalid; 0: none */
  int reject_error;          /* error number of that rejection */
  rw_time fetch_until;       /* no other fetch from a peer before then */
  bool reading;              /* a read of the service is in flight */
  bool watching; /* the last read was a watch; false once not a watcher */
  bool first_read_scheduled;
  bool service_answered; /* the service has answered a read of it */
  rw_time read_started_at;
  uint64_t read_after; /* highest version, in force or rejected, when the read
                          started */
  rw_time next_read_at;
  rw_time backoff; /* before the next read if this one fails */
};

struct cnf_doc *cnf_doc_find (const struct cnf_conf *conf, struct rw_str key);
uint64_t cnf_digest_add (uint64_t digest, struct rw_str key, uint64_t version);
bool cnf_doc_needs_fetch (const struct cnf_doc *doc, uint64_t version,
                          rw_time now);

#endif
