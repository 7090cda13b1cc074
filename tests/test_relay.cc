// Sub-requests that are relayed by other daemons. The limit on connections
// lets only two of the three daemons connect to the targets.
#include "fleet.h"

class RelayTest : public testing::Test {
  protected:
    void
    make(int base)
    {
        fleet = std::make_unique<Fleet>(base, 3, "15");
        ASSERT_TRUE(eventually([&] {
            relayer = 0;
            for (int i = 1; i <= 3; i++) {
                if (number(i, "relayed_shards") == 4) {
                    relayer = i;
                }
            }
            return relayer > 0;
        }));
        first = relayer % 3 + 1;
        second = first % 3 + 1;
    }
    int64_t
    number(int i, const char *member)
    {
        HttpAnswer answer = http(fleet->operators(i, "/state"));
        json_t *json =
            json_loadb(answer.body.data(), answer.body.size(), 0, nullptr);
        int64_t n = json_integer_value(json_object_get(json, member));
        json_decref(json);
        return n;
    }

    std::unique_ptr<Fleet> fleet;
    int relayer = 0, first = 0, second = 0;
};

TEST_F(RelayTest, AnswersNameTheMissingShards)
{
    ASSERT_NO_FATAL_FAILURE(make(27100));
    for (int i = 0; i < 20; i++) {
        EXPECT_EQ(fleet->query(relayer).outcome(), "complete");
    }
    EXPECT_GE(fleet->state_number(relayer, "counters", "relayed"), 80);
    for (const char *target : {"t20", "t21", "t22"}) {
        fleet->fault(target, "dead=1");
    }
    HttpAnswer answer = fleet->query(relayer);
    EXPECT_EQ(answer.outcome(), "partial");
    EXPECT_NE(answer.body.find("\"missing\":[{\"shard\":\"g2\""),
              std::string::npos)
        << answer.body;
}

TEST_F(RelayTest, CrashedPeerIsBypassed)
{
    ASSERT_NO_FATAL_FAILURE(make(27200));
    EXPECT_EQ(fleet->query(relayer).outcome(), "complete");
    fleet->daemons[(size_t)first]->signal(SIGKILL);
    fleet->daemons[(size_t)first]->wait();
    for (int i = 0; i < 20; i++) {
        EXPECT_EQ(fleet->query(relayer).outcome(), "complete") << i;
    }
}

TEST_F(RelayTest, PausedPeerDoesNotBlockAnswers)
{
    ASSERT_NO_FATAL_FAILURE(make(27300));
    for (int i = 0; i < 50; i++) {
        fleet->query(relayer);
    }
    fleet->daemons[(size_t)second]->signal(SIGSTOP);
    int n_complete = 0;
    for (int i = 0; i < 20; i++) {
        HttpAnswer answer = fleet->query(relayer);
        n_complete += answer.outcome() == "complete";
        EXPECT_NE(answer.outcome(), "") << "no answer at all";
    }
    EXPECT_GT(n_complete, 10);
    fleet->daemons[(size_t)second]->signal(SIGCONT);
    EXPECT_TRUE(eventually(
        [&] { return fleet->query(relayer).outcome() == "complete"; }));
}

TEST_F(RelayTest, RelayedKeyedRequestRunsOnce)
{
    ASSERT_NO_FATAL_FAILURE(make(27400));
    std::string key = fleet->key(relayer);
    EXPECT_EQ(fleet->order(relayer, key).outcome(), "complete");
    EXPECT_EQ(fleet->order(relayer, key).outcome(), "complete");
    EXPECT_EQ(fleet->runs(key), 1);
}

TEST_F(RelayTest, RelayedPartsKeepTheLimitsOfTargets)
{
    ASSERT_NO_FATAL_FAILURE(make(27500));
    // The three replicas of one shard accept one request a second each.
    for (const char *target : {"t00", "t01", "t02"}) {
        fleet->fault(target, "limit=1");
    }
    ASSERT_TRUE(eventually(
        [&] { return fleet->query(relayer).outcome() == "partial"; }));
    auto start = std::chrono::steady_clock::now();
    int n_complete = 0;
    for (int i = 0; i < 100; i++) {
        n_complete += fleet->query(relayer).outcome() == "complete";
    }
    std::chrono::duration<double> seconds =
        std::chrono::steady_clock::now() - start;
    EXPECT_LE(n_complete, 3 * (1.5 * seconds.count() + 5));
}
