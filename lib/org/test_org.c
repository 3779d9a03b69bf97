#include <stdio.h>
#include <string.h>

#include "org.h"
#include "unit.h"

struct fixture
{
  struct org_directory directory;
};

static void
begin (struct fixture *f)
{
  org_init (&f->directory);
}

static void
end (struct fixture *f)
{
  org_finish (&f->directory);
}

UNIT_FIXTURE (begin, end)

static size_t
add (struct fixture *f, const char *name)
{
  struct org_organisation organisation = { .name = rw_str_from (name) };
  size_t index = SIZE_MAX;
  assert_int_equal (org_add (&f->directory, &organisation, &index), 0);
  return index;
}

static int
add_key (struct fixture *f, const char *key, size_t index)
{
  struct org_digest digest;
  org_digest_key (rw_str_from (key), &digest);
  return org_add_key (&f->directory, &digest, index);
}

/* Guards against a key that opens the wrong organisation, or none.  */
TEST_WITH_FIXTURE (a_key_finds_its_organisation)
{
  size_t a = add (f, "alpha");
  size_t b = add (f, "beta");
  assert_int_equal (add_key (f, "k1", a), 0);
  assert_int_equal (add_key (f, "k2", a), 0);
  assert_int_equal (add_key (f, "k3", b), 0);
  assert_string_equal (org_find_key (&f->directory, RW_LIT ("k2"))->name.ptr,
                       "alpha");
  assert_string_equal (org_find_key (&f->directory, RW_LIT ("k3"))->name.ptr,
                       "beta");
  assert_null (org_find_key (&f->directory, RW_LIT ("k")));
  assert_null (org_find_key (&f->directory, RW_LIT ("k22")));
  assert_null (org_find_key (&f->directory, RW_LIT ("")));
  assert_int_equal (f->directory.list[a].key_count, 2);
}

/* Guards against a look-up in a configuration that has organisations but no
   keys.  */
TEST_WITH_FIXTURE (a_directory_without_keys_finds_nothing)
{
  add (f, "alpha");
  assert_null (org_find_key (&f->directory, RW_LIT ("k1")));
  assert_non_null (org_find_name (&f->directory, RW_LIT ("alpha")));
  assert_null (org_find_name (&f->directory, RW_LIT ("beta")));
}

/* Guards against a key that opens two organisations, so that requests count
   for either.  */
TEST_WITH_FIXTURE (a_key_of_two_organisations_is_refused)
{
  size_t a = add (f, "alpha");
  size_t b = add (f, "beta");
  assert_int_equal (add_key (f, "k1", a), 0);
  assert_int_equal (add_key (f, "k1", a), 0);
  assert_int_equal (add_key (f, "k1", b), RW_E_DUPLICATE);
  assert_int_equal (f->directory.list[a].key_count, 1);
}

/* Guards against names that end a header or stand twice.  */
TEST_WITH_FIXTURE (bad_names_are_refused)
{
  static const char *const bad[]
      = { "", " a", "a ", "a\r\nX: 1", "a\x01", "a\x7f" };
  struct org_organisation organisation = { 0 };
  size_t index;
  add (f, "alpha beta");
  for (size_t i = 0; i < RW_ARRAY_LEN (bad); i++)
    {
      organisation.name = rw_str_from (bad[i]);
      assert_int_equal (org_add (&f->directory, &organisation, &index),
                        RW_E_RANGE);
    }
  organisation.name = RW_LIT ("alpha beta");
  assert_int_equal (org_add (&f->directory, &organisation, &index),
                    RW_E_DUPLICATE);
}

/* Guards against a table that loses keys when it grows: 100,000 keys of 10,000
   organisations.  */
TEST_WITH_FIXTURE (many_keys_are_found)
{
  static char names[10000][16];
  char key[32];
  for (int i = 0; i < 10000; i++)
    {
      snprintf (names[i], sizeof names[i], "org-%d", i);
      add (f, names[i]);
    }
  for (int i = 0; i < 100000; i++)
    {
      snprintf (key, sizeof key, "key-%d", i);
      assert_int_equal (add_key (f, key, (size_t)i % 10000), 0);
    }
  for (int i = 0; i < 100000; i++)
    {
      snprintf (key, sizeof key, "key-%d", i);
      const struct org_organisation *found
          = org_find_key (&f->directory, rw_str_from (key));
      assert_non_null (found);
      assert_ptr_equal (found, &f->directory.list[i % 10000]);
    }
  assert_null (org_find_key (&f->directory, RW_LIT ("key-100000")));
}

/* Guards against digests that change on their way between daemons.  */
TEST (digests_are_read_as_written)
{
  struct org_digest digest;
  struct org_digest read;
  char text[ORG_DIGEST_TEXT_BYTES + 1];
  org_digest_key (RW_LIT ("abc"), &digest);
  org_write_digest (&digest, text);
  /* The published SHA-256 digest of "abc".  */
  assert_string_equal (text, "ba7816bf8f01cfea414140de5dae2223");
  assert_int_equal (org_read_digest (rw_str_from (text), &read), 0);
  assert_memory_equal (&read, &digest, sizeof read);
  text[3] = 'g';
  assert_int_equal (org_read_digest (rw_str_from (text), &read), RW_E_PARSE);
  assert_int_equal (org_read_digest (RW_LIT ("ba78"), &read), RW_E_PARSE);
}
