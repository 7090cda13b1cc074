/* The GError domain, and the list of faults that validation found in a
 * document. */
#include "lavenderrail.h"

#include <stdarg.h>

struct LrFaults {
    GPtrArray *items;
};

GQuark
LrError_Quark(void)
{
    return g_quark_from_static_string("lavenderrail-error");
}

static void
free_fault(gpointer data)
{
    LrFault *fault = data;
    g_free(fault->path);
    g_free(fault->cause);
    g_free(fault->hint);
    g_free(fault);
}

LrFaults *
LrFaults_New(void)
{
    LrFaults *faults = g_new0(LrFaults, 1);
    faults->items = g_ptr_array_new_with_free_func(free_fault);
    return faults;
}

void
LrFaults_Free(LrFaults *faults)
{
    if (!faults) {
        return;
    }
    g_ptr_array_unref(faults->items);
    g_free(faults);
}

void
LrFaults_Add(LrFaults *faults, const char *path, const char *hint,
             const char *cause, ...)
{
    va_list args;
    va_start(args, cause);
    LrFault *fault = g_new0(LrFault, 1);
    fault->path = g_strdup(path);
    fault->hint = g_strdup(hint);
    fault->cause = g_strdup_vprintf(cause, args);
    va_end(args);
    g_ptr_array_add(faults->items, fault);
}

size_t
LrFaults_Count(const LrFaults *faults)
{
    return faults->items->len;
}

const LrFault *
LrFaults_Get(const LrFaults *faults, size_t index)
{
    return g_ptr_array_index(faults->items, index);
}

char *
LrFaults_ToText(const LrFaults *faults)
{
    GString *text = g_string_new(NULL);
    for (size_t i = 0; i < LrFaults_Count(faults); i++) {
        const LrFault *fault = LrFaults_Get(faults, i);
        g_string_append_printf(text, "%s: %s (%s)\n", fault->path,
                               fault->cause, fault->hint);
    }
    return g_string_free(text, FALSE);
}
