/* Interfaces that a deployment implements: the HTTP contract with callers and
 * targets, and the source of the configuration. Implementations translate;
 * every decision is made by the daemon. */
#ifndef LAVENDERRAIL_CONTRACT_H
#define LAVENDERRAIL_CONTRACT_H

#include "http1.h"
#include "active_catalogue.h"

/* What the headers of a caller's request state. */
typedef struct {
    /* Request id, borrowed from the message; empty when there is none. */
    LrStr id;
    /* How long the caller will wait; 0 when not given. */
    LrTime timeout;
} LrRequestMetadata;

typedef struct {
    const char *name;
    /* False when the request violates the contract. */
    bool (*read_metadata)(const LrHttpMessage *request,
                          LrRequestMetadata *metadata);
    /* Appends the request line and the headers that are the same for every
     * attempt, each with its line end. */
    void (*write_request_head)(const LrHttpMessage *request, GString *head);
    /* Appends the headers of one attempt: the identity that the target must
     * have, and the time that remains until the deadline. */
    void (*write_attempt_headers)(LrStr instance, LrTime remaining,
                                  GString *head);
    /* Appends the head of a check whether a target is up, with its last line
     * end. */
    void (*write_check_head)(LrStr path, LrStr address, GString *head);
    /* Whether a response to a check comes from the target with that
     * identity. */
    bool (*is_from_instance)(const LrHttpMessage *response, LrStr instance);
    /* Whether a response belongs to the request with this id. */
    bool (*matches_request)(const LrHttpMessage *response, LrStr id);
    /* Sets status, load report and head of the reply from a complete
     * response. The head of a part is its response seal; otherwise it is the
     * status line and the headers for the caller. The body stays in the
     * message. */
    void (*classify_response)(const LrHttpMessage *response, bool part,
                              LrReply *reply);
    /* Sets in the reply what the target states of itself in a response to a
     * check. */
    void (*read_check_statements)(const LrHttpMessage *response,
                                  LrReply *reply);
    /* Appends status line and headers of an answer merged from parts. */
    void (*write_merged_head)(const LrAnswer *answer, GString *head);
    /* Appends status line and headers of a response that the daemon produces
     * itself; without Retry-After when retry_after is 0. */
    void (*write_daemon_head)(unsigned status, LrTime retry_after,
                              GString *head);
} LrContract;

typedef struct {
    struct ev_loop *loop;
    LrClient *client;
    LrActiveCatalogue *active_catalogue;
    LrRandom *random;
    LrLog *log;
    LrCounters *counters;
    const LrSettings *settings;
    /* Called with each host list, where the service provides one. */
    void (*on_host_list)(void *data, const LrHostList *list);
    void *data;
} LrSourceConfig;

typedef struct {
    const char *name;
    void *(*start)(const LrSourceConfig *config);
    void (*free)(void *source);
    void (*set_reading)(void *source, bool reading);
    /* Time of the last successful call to the configuration service; 0 for
     * none. */
    LrTime (*last_success_at)(const void *source);
    /* JSON members for the state dump. */
    struct json_t *(*dump)(const void *source);
    /* Builds a catalogue; see LrActiveCatalogueConfig. */
    LrCatalogue *(*build)(const LrValueSet *store, const LrCatalogue *former,
                          LrFaults *faults);
} LrSourceType;

struct LrConfigReport;

/* One deployment; contract is NULL for the native interface. */
struct LrDeployment {
    const char *name;
    /* Environment variable that names the settings file; NULL for none. */
    const char *settings_variable;
    const LrContract *contract;
    const LrSourceType *source;
    /* Checks a stored configuration before it is written, and compares it with
     * the one in force unless that is NULL; false when it can't be read. NULL
     * for none. */
    bool (*check_config)(LrStr text, LrStr in_force,
                         struct LrConfigReport *report, char **changes);
};

extern const LrDeployment LrDeployment_Native;

#endif
