/* Timeline of one request, from the log lines of all hosts. */
#include "trace.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

typedef struct {
    gint64 at_ms;
    size_t order;
    GHashTable *fields;
} Line;

/* Sentence printed for an event; {name} is replaced by that field. */
typedef struct {
    const char *event;
    const char *text;
} EventText;

static const EventText EVENT_TEXTS[] = {
    {"request_refused", "refused with {status} before any attempt: {reason} "
                        "({host_name}{path}), configuration {config}"},
    {"request_forwarded", "handed to the aggregator {aggregator}"},
    {"request_delegated", "no target is reached here: handed to {aggregator}"},
    {"forward_refused", "not accepted: {why}"},
    {"forward_declined", "{aggregator} declined ({why}, had begun: {begun})"},
    {"forward_given_back",
     "given back to {to}, which asks another daemon: {why}"},
    {"forward_lost", "{aggregator} was lost after {ms} ms: {why}"},
    {"forward_not_begun", "accepted, but never started by its daemon"},
    {"attempt_repeated",
     "{cause} of shard {shard} to {target}, {left_ms} ms left"},
    {"attempt_failed", "attempt at {target} ended: {status}"},
    {"attempt_unfinished",
     "attempt at {target} not waited for: {phase} since {age_ms} ms"},
    {"caller_gone", "the caller closed its connection after {ms} ms"},
    {"part_missing", "no result from shard {shard}: {reason}"},
    {"request_answered",
     "answered {status} after {ms} ms: {outcome}, {answered} of {parts} "
     "parts, {attempts} attempts, reason {reason}, route {route}, "
     "configuration {config}"},
};

static void
free_line(gpointer data)
{
    Line *line = data;
    g_hash_table_unref(line->fields);
    g_free(line);
}

/* Appends a value, quoted or not, to value; returns the text after it. */
static const char *
parse_value(const char *at, GString *value)
{
    bool quoted = *at == '"';
    at += quoted;
    while (*at && *at != '\n' && *at != (quoted ? '"' : ' ')) {
        if (quoted && *at == '\\' && at[1]) {
            at++;
        }
        g_string_append_c(value, *at++);
    }
    return quoted && *at ? at + 1 : at;
}

static GHashTable *
parse_fields(const char *text)
{
    GHashTable *fields =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    const char *at = strchr(text, '>');
    at = at ? at + 1 : text;
    while (*at && *at != '\n') {
        const char *equals = strchr(at, '=');
        if (!equals) {
            break;
        }
        char *name = g_strndup(at, (gsize)(equals - at));
        GString *value = g_string_new(NULL);
        at = parse_value(equals + 1, value);
        g_hash_table_replace(fields, g_strstrip(name),
                             g_string_free(value, FALSE));
        at += strspn(at, " ");
    }
    return fields;
}

static int
compare_lines(gconstpointer a, gconstpointer b)
{
    const Line *left = *(Line *const *)a;
    const Line *right = *(Line *const *)b;
    if (left->at_ms != right->at_ms) {
        return left->at_ms < right->at_ms ? -1 : 1;
    }
    return (left->order > right->order) - (left->order < right->order);
}

static const char *
field(const Line *line, const char *name)
{
    const char *value = g_hash_table_lookup(line->fields, name);
    return value ? value : "";
}

static void
print_event_text(const Line *line, const char *text, FILE *out)
{
    while (*text) {
        const char *end = *text == '{' ? strchr(text, '}') : NULL;
        if (end) {
            g_autofree char *name =
                g_strndup(text + 1, (gsize)(end - text - 1));
            fputs(field(line, name), out);
            text = end + 1;
        }
        else {
            fputc(*text++, out);
        }
    }
}

static void
print_log_line(const Line *line, gint64 start, FILE *out)
{
    const char *event = field(line, "event");
    fprintf(out, "+%5" G_GINT64_FORMAT " ms  %-24s ", line->at_ms - start,
            field(line, "host"));
    for (size_t i = 0; i < G_N_ELEMENTS(EVENT_TEXTS); i++) {
        if (!strcmp(event, EVENT_TEXTS[i].event)) {
            print_event_text(line, EVENT_TEXTS[i].text, out);
            fputc('\n', out);
            return;
        }
    }
    fprintf(out, "%s\n", event);
}

static GPtrArray *
read_lines(const char *id, FILE *logs)
{
    GPtrArray *lines = g_ptr_array_new_with_free_func(free_line);
    char *text = NULL;
    size_t size = 0;
    while (getline(&text, &size, logs) >= 0) {
        const char *found = strstr(text, "event=");
        if (!found || !strstr(text, id)) {
            continue;
        }
        Line *line = g_new0(Line, 1);
        line->fields = parse_fields(text);
        line->at_ms = g_ascii_strtoll(field(line, "ts"), NULL, 10);
        line->order = lines->len;
        if (strcmp(field(line, "id"), id) != 0) {
            free_line(line);
            continue;
        }
        g_ptr_array_add(lines, line);
    }
    free(text);
    return lines;
}

size_t
Trace_Print(const char *id, FILE *logs, FILE *out)
{
    GPtrArray *lines = read_lines(id, logs);
    g_ptr_array_sort(lines, compare_lines);
    size_t n = lines->len;
    for (size_t i = 0; i < n; i++) {
        const Line *first = lines->pdata[0];
        print_log_line(lines->pdata[i], first->at_ms, out);
    }
    if (n == 0) {
        fprintf(out,
                "no log line for %s: complete answers are sampled, and "
                "log_gap lines count those held back or dropped\n",
                id);
    }
    g_ptr_array_unref(lines);
    return n;
}
