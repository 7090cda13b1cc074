/* Catalogues of a simulation. */
#include "sim.h"

static void
append_map(GString *text, const Sim *sim, int64_t version, size_t shift)
{
    const SimSize *size = sim->size;
    g_string_append_printf(text, "{\"version\":%d,\"groups\":[", (int)version);
    for (size_t g = 0; g < size->n_groups; g++) {
        g_string_append_printf(text, "%s{\"name\":\"g%zu\",\"replicas\":[",
                               g ? "," : "", g);
        size_t home = (g + shift) % size->n_groups;
        for (size_t r = 0; r < size->n_replicas; r++) {
            size_t t = home * size->n_replicas + r;
            g_string_append_printf(
                text,
                "%s{\"name\":\"t%zu\",\"address\":\"%s\",\"zone\":\"z%zu\"}",
                r ? "," : "", t, sim->targets[t].address, r);
        }
        g_string_append(text, "]}");
    }
    g_string_append(text, "]}");
}

void
Sim_Publish(Sim *sim, int64_t oldest, int64_t newest, size_t shift)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text,
                           "{\"revision\":%d,\"services\":[{\"name\":\"s\","
                           "\"connections\":30,\"maps\":[",
                           (int)++sim->catalogue_revision);
    for (int64_t v = oldest; v <= newest; v++) {
        g_string_append(text, v > oldest ? "," : "");
        append_map(text, sim, v, v == newest ? shift : 0);
    }
    g_string_append(text, "]}],\"entries\":[");
    for (int urgent = 0; urgent < 2; urgent++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"%s\",\"owner\":\"o\",\"service\":\"s\","
            "\"class\":\"%s\",\"max_concurrency\":100000,"
            "\"rate_per_s\":10000000,%s}",
            urgent ? "," : "", LrTrafficClass_Names[!urgent],
            LrTrafficClass_Names[!urgent], sim->size->entry_json);
    }
    g_string_append_printf(text,
                           ",{\"name\":\"once\",\"owner\":\"o\","
                           "\"service\":\"s\",\"idempotent\":false,"
                           "\"max_concurrency\":100000,"
                           "\"rate_per_s\":10000000,%s}",
                           sim->size->entry_json);
    g_string_append(text, "]}");
    LrFaults *faults = LrFaults_New();
    LrCatalogue *catalogue =
        LrCatalogue_Parse((LrStr){.ptr = text->str, .len = text->len}, faults);
    g_assert(catalogue);
    LrEngine_SetCatalogue(sim->engine, sim->now, catalogue);
    LrCatalogue_Unref(catalogue);
    LrFaults_Free(faults);
    g_string_free(text, TRUE);
    sim->version = newest;
    Sim_Settle(sim);
}
