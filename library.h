/**
 * @file library.h
 * Lazy loading of libulfius, libcurl and libmicrohttpd with dlopen(). These
 * pull in about 40 further libraries, whose loading takes 8 to 10 ms of CPU
 * time. That would slow down the start of a process that does not need HTTP at
 * once.
 */
#ifndef RIDGERIDGE_LIBRARY_H
#define RIDGERIDGE_LIBRARY_H

#include <curl/curl.h>
#include <microhttpd.h>
#include <ulfius.h>

#include "status.h"

/** Functions of libulfius: field, symbol. */
#define LIBRARY_ULFIUS_FUNCTIONS(X)                                           \
    X(init, ulfius_init_instance)                                             \
    X(clean, ulfius_clean_instance)                                           \
    X(start, ulfius_start_framework)                                          \
    X(stop, ulfius_stop_framework)                                            \
    X(add_endpoint, ulfius_add_endpoint_by_val)                               \
    X(set_default_endpoint, ulfius_set_default_endpoint)                      \
    X(set_body, ulfius_set_binary_body_response)                              \
    X(map_put, u_map_put)                                                     \
    X(map_get, u_map_get)                                                     \
    X(map_get_case, u_map_get_case)

/** Functions of libcurl: field, symbol. */
#define LIBRARY_CURL_FUNCTIONS(X)                                             \
    X(global_init, curl_global_init)                                          \
    X(init, curl_easy_init)                                                   \
    X(cleanup, curl_easy_cleanup)                                             \
    X(setopt, curl_easy_setopt)                                               \
    X(getinfo, curl_easy_getinfo)                                             \
    X(perform, curl_easy_perform)                                             \
    X(list_append, curl_slist_append)                                         \
    X(list_free, curl_slist_free_all)

/** Functions of libmicrohttpd: field, symbol. */
#define LIBRARY_MICROHTTPD_FUNCTIONS(X)                                       \
    X(start, MHD_start_daemon)                                                \
    X(stop, MHD_stop_daemon)                                                  \
    X(quiesce, MHD_quiesce_daemon)                                            \
    X(run, MHD_run)                                                           \
    X(get_timeout, MHD_get_timeout)                                           \
    X(daemon_info, MHD_get_daemon_info)                                       \
    X(connection_info, MHD_get_connection_info)                               \
    X(suspend, MHD_suspend_connection)                                        \
    X(resume, MHD_resume_connection)                                          \
    X(queue, MHD_queue_response)                                              \
    X(new_response, MHD_create_response_from_buffer)                          \
    X(add_header, MHD_add_response_header)                                    \
    X(free_response, MHD_destroy_response)

#define LIBRARY_FIELD(field, function) __typeof__(function) *field;

/** HTTP server of the control and entry roles. */
struct library_ulfius {
    LIBRARY_ULFIUS_FUNCTIONS(LIBRARY_FIELD)
};

/** HTTP client for upstreams, control VMs and nodes. */
struct library_curl {
    LIBRARY_CURL_FUNCTIONS(LIBRARY_FIELD)
};

/** HTTP server of nodes; for entries, functions that libulfius lacks. */
struct library_microhttpd {
    LIBRARY_MICROHTTPD_FUNCTIONS(LIBRARY_FIELD)
};

/** Bit set of libraries. */
enum library_set {
    LIBRARY_NONE = 0,      /**< loads nothing */
    LIBRARY_ULFIUS = 1,    /**< fills library_ulfius */
    LIBRARY_CURL = 2,      /**< fills library_curl */
    LIBRARY_MICROHTTPD = 4 /**< fills library_microhttpd */
};

extern struct library_ulfius library_ulfius;
extern struct library_curl library_curl;
extern struct library_microhttpd library_microhttpd;

/**
 * Loads libraries. Call it before any thread uses them.
 * @param set bits of enum library_set
 * @return STATUS_IO if a library cannot be loaded; the text names the package
 */
enum status_kind library_load(unsigned set, struct status *st);

#endif
