/* What differs between deployments, as tables of functions: how callers and
 * targets are spoken to, and where the configuration is read. They translate;
 * every decision is the daemon's. */
#ifndef LAVENDERRAIL_CONTRACT_H
#define LAVENDERRAIL_CONTRACT_H

#include "http1.h"
#include "active_catalogue.h"

/* What a caller says of its request. */
typedef struct {
    /* Borrowed from the message; empty when the caller gave none. */
    LrStr id;
    /* How long the caller will wait; 0 when not said. */
    LrTime timeout;
} LrRequestMetadata;

typedef struct {
    const char *name;
    /* False when the request breaks the contract. */
    bool (*read_metadata)(const LrHttpMessage *request,
                          LrRequestMetadata *terms);
    /* Appends the request line and the headers that every attempt passes on,
     * each with its line end. */
    void (*write_request_head)(const LrHttpMessage *request, GString *head);
    /* Appends the headers of one attempt: the identity that the target has to
     * have, and the time that it has left. */
    void (*write_attempt_headers)(LrStr instance, LrTime left, GString *head);
    /* Whether a response answers the request of that id. */
    bool (*matches_request)(const LrHttpMessage *response, LrStr id);
    /* Judges a whole response: status, load and head of the reply. The head
     * of a part is its seal; that of a single answer is what the caller
     * gets, from the status line on. The body stays in the message. */
    void (*classify_response)(const LrHttpMessage *response, bool part,
                              LrReply *reply);
    /* Appends status line and headers of an answer merged from parts. */
    void (*write_merged_head)(const LrAnswer *answer, GString *head);
    /* Appends status line and headers of the daemon's own answer;
     * retry_after is 0 for none. */
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
    /* The host list, where the service has one. */
    void (*on_host_list)(void *data, const LrHostList *list);
    void *data;
} LrSourceConfig;

typedef struct {
    const char *name;
    void *(*start)(const LrSourceConfig *config);
    void (*free)(void *source);
    void (*set_reading)(void *source, bool reading);
    /* Time of the last call that succeeded; 0 for none. */
    LrTime (*last_success_at)(const void *source);
    /* Members for the state dump. */
    struct json_t *(*dump)(const void *source);
    /* Builds a catalogue, as LrActiveCatalogueConfig says. */
    LrCatalogue *(*build)(const LrValueSet *store, const LrCatalogue *former,
                          LrFaults *faults);
} LrSourceType;

/* A deployment: NULL contract for the native interface. */
struct LrDeployment {
    const char *name;
    /* Environment variable that names the settings file; NULL for none. */
    const char *settings_variable;
    const LrContract *contract;
    const LrSourceType *source;
};

extern const LrDeployment LrDeployment_Native;

#endif
