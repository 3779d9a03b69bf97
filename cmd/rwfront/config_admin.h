/* The admin port's report of the configuration in force.  */

#ifndef FRN_CONFIG_ADMIN_H
#define FRN_CONFIG_ADMIN_H

#include "front.h"

/* Answers the request MESSAGE at the admin port if it asks for the
   configuration.  Returns false, without an answer, if it is another one.  */
bool frn_config_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                       const struct h1_message *message);

#endif
