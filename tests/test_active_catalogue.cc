/* Which offered values are activated, kept for later or rejected. */
#include <gtest/gtest.h>

#include "active_catalogue.h"
#include "routing.h"

namespace {

const char CONFIG[] = R"({"version": 1, "routes": [
  {"name": "r", "host": "h", "prefix": "/",
   "backends": [{"shards": [{"service": "s"}]}]}], "pools": []})";
const char TARGET[] =
    R"({"id": "i", "service": "s", "address": "10.0.0.1:1"})";

class ActiveCatalogue : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        LrActiveCatalogueConfig config = {
            .build = LrRouting_Build,
            .on_accepted =
                [](void *data, LrCatalogue *catalogue) {
                    auto *self = static_cast<ActiveCatalogue *>(data);
                    self->n_accepted++;
                    self->n_replicas = catalogue->spec.services[0]
                                           .maps[0]
                                           .groups[0]
                                           .n_replicas;
                },
            .data = this,
        };
        active = LrActiveCatalogue_New(&config);
    }

    void
    TearDown() override
    {
        LrActiveCatalogue_Free(active);
    }

    LrValueSet *
    changed(const char *name, const char *text, int64_t revision)
    {
        LrValueSet *values = LrValueSet_Fork(LrActiveCatalogue_Values(active));
        LrValueSet_SetRevision(values, revision);
        LrValueSet_Set(values, name, revision, LrStr_FromC(text));
        return values;
    }

    LrActiveCatalogue *active;
    int n_accepted = 0;
    size_t n_replicas = 0;
};

} // namespace

/* Guards against dropping values that arrive before the configuration: their
 * targets would be missing until they change again. */
TEST_F(ActiveCatalogue, TargetsThatArriveBeforeTheConfigurationAreKept)
{
    EXPECT_TRUE(LrActiveCatalogue_Replace(
        active, changed(LR_INSTANCE_PREFIX "i", TARGET, 2), "test"));
    EXPECT_EQ(n_accepted, 0);
    EXPECT_TRUE(LrActiveCatalogue_Replace(
        active, changed(LR_ROUTING_VALUE, CONFIG, 3), "test"));
    EXPECT_EQ(n_accepted, 1);
    EXPECT_EQ(n_replicas, 1U);
}

TEST_F(ActiveCatalogue, AnInvalidConfigurationLeavesTheOldOneActive)
{
    LrActiveCatalogue_Replace(active, changed(LR_ROUTING_VALUE, CONFIG, 3),
                              "test");
    EXPECT_FALSE(LrActiveCatalogue_Replace(
        active, changed(LR_ROUTING_VALUE, "{\"routes\": 1}", 4), "test"));
    EXPECT_EQ(LrActiveCatalogue_Revision(active), 3);
    EXPECT_EQ(LrActiveCatalogue_RefusedRevision(active), 4);
    EXPECT_EQ(n_accepted, 1);
}

TEST_F(ActiveCatalogue, ALowerRevisionIsNeverActivated)
{
    LrActiveCatalogue_Replace(active, changed(LR_ROUTING_VALUE, CONFIG, 5),
                              "test");
    EXPECT_FALSE(LrActiveCatalogue_Offer(
        active, changed(LR_ROUTING_VALUE, CONFIG, 5), "peer"));
    EXPECT_FALSE(LrActiveCatalogue_Replace(
        active, changed(LR_ROUTING_VALUE, CONFIG, 4), "test"));
    EXPECT_EQ(LrActiveCatalogue_Revision(active), 5);
}
