#include <stdlib.h>

#include "account.h"

struct acc_blob *
acc_blob_new (struct acc_account *account, struct rw_buf *buf)
{
  struct acc_blob *blob = rw_xmalloc (sizeof *blob);
  blob->account = account;
  blob->refs = 1;
  blob->buf = *buf;
  rw_buf_init (buf);
  acc_add (account, blob->buf.cap);
  return blob;
}

struct acc_blob *
acc_blob_ref (struct acc_blob *blob)
{
  if (blob != NULL)
    blob->refs++;
  return blob;
}

void
acc_blob_unref (struct acc_blob *blob)
{
  if (blob == NULL || --blob->refs > 0)
    return;
  acc_sub (blob->account, blob->buf.cap);
  rw_buf_finish (&blob->buf);
  free (blob);
}
