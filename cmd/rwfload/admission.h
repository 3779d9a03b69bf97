/* Compares three designs of admission control: each daemon alone, credits, and
   a holder that relays.  */

#ifndef LOAD_ADMISSION_H
#define LOAD_ADMISSION_H

int load_admission (int argc, char **argv);

#endif
