/* Compares naive query tiers with this project's.  */

#ifndef LOAD_COMPARE_H
#define LOAD_COMPARE_H

int load_compare (int argc, char **argv);

#endif
