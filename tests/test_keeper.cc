/* What is put in force, what waits, and what is refused. */
#include <gtest/gtest.h>

#include "keeper.h"
#include "routing.h"

namespace {

const char CONFIG[] = R"({"version": 1, "routes": [
  {"name": "r", "host": "h", "prefix": "/",
   "backends": [{"shards": [{"service": "s"}]}]}], "pools": []})";
const char TARGET[] =
    R"({"id": "i", "service": "s", "address": "10.0.0.1:1"})";

class Keeper : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        LrKeeperConfig config = {
            .build = LrRouting_Build,
            .catalogue =
                [](void *data, LrCatalogue *catalogue) {
                    auto *self = static_cast<Keeper *>(data);
                    self->n_accepted++;
                    self->n_replicas = catalogue->spec.services[0]
                                           .maps[0]
                                           .groups[0]
                                           .n_replicas;
                },
            .data = this,
        };
        keeper = LrKeeper_New(&config);
    }

    void
    TearDown() override
    {
        LrKeeper_Free(keeper);
    }

    LrStore *
    changed(const char *name, const char *text, int64_t revision)
    {
        LrStore *store = LrStore_Fork(LrKeeper_Store(keeper));
        LrStore_SetRevision(store, revision);
        LrStore_Set(store, name, revision, LrStr_FromC(text));
        return store;
    }

    LrKeeper *keeper;
    int n_accepted = 0;
    size_t n_replicas = 0;
};

} // namespace

/* Fails when values without a configuration are dropped: their targets would
 * be missing until they change again. */
TEST_F(Keeper, TargetsThatComeBeforeTheConfigurationAreKept)
{
    EXPECT_TRUE(LrKeeper_Replace(
        keeper, changed(LR_INSTANCE_PREFIX "i", TARGET, 2), "test"));
    EXPECT_EQ(n_accepted, 0);
    EXPECT_TRUE(LrKeeper_Replace(keeper, changed(LR_ROUTING_VALUE, CONFIG, 3),
                                 "test"));
    EXPECT_EQ(n_accepted, 1);
    EXPECT_EQ(n_replicas, 1U);
}

TEST_F(Keeper, AnInvalidConfigurationLeavesTheOldOneInForce)
{
    LrKeeper_Replace(keeper, changed(LR_ROUTING_VALUE, CONFIG, 3), "test");
    EXPECT_FALSE(LrKeeper_Replace(
        keeper, changed(LR_ROUTING_VALUE, "{\"routes\": 1}", 4), "test"));
    EXPECT_EQ(LrKeeper_Revision(keeper), 3);
    EXPECT_EQ(LrKeeper_RefusedRevision(keeper), 4);
    EXPECT_EQ(n_accepted, 1);
}

TEST_F(Keeper, ALowerRevisionIsNeverTakenUp)
{
    LrKeeper_Replace(keeper, changed(LR_ROUTING_VALUE, CONFIG, 5), "test");
    EXPECT_FALSE(
        LrKeeper_Offer(keeper, changed(LR_ROUTING_VALUE, CONFIG, 5), "peer"));
    EXPECT_FALSE(LrKeeper_Replace(keeper, changed(LR_ROUTING_VALUE, CONFIG, 4),
                                  "test"));
    EXPECT_EQ(LrKeeper_Revision(keeper), 5);
}
