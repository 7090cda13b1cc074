// A zone that is partitioned from the other zones and the platform keeps
// serving, and rejoins them afterwards.
#include "tcp_proxy.h"
#include "fleet.h"

class ZoneTest : public testing::Test {
  protected:
    static constexpr int BASE = 27700;

    void
    SetUp() override
    {
        fleet = std::make_unique<Fleet>(BASE, 3, "3", true);
        for (int i = 1; i <= 3; i++) {
            // The hello message of a connection names the daemon that opened
            // it. Connections from and to daemon 3 are dropped.
            proxies.push_back(std::make_unique<TcpProxy>(
                BASE + 10 * i + 4, BASE + 10 * i + 3,
                [this, i](const std::string &first) {
                    bool from_third = first.find("d3") != std::string::npos;
                    return cut && (from_third != (i == 3));
                }));
            proxies.push_back(std::make_unique<TcpProxy>(
                BASE + 10 * i + 5, BASE,
                [this, i](const std::string &) { return cut && i == 3; }));
        }
        fleet->start_all();
        ASSERT_TRUE(eventually([&] { return state(1, "d3") == "alive"; }));
        ASSERT_TRUE(eventually([&] { return state(3, "d1") == "alive"; }));
    }
    // State of a member as one daemon reports it; empty before it has heard
    // from the member.
    std::string
    state(int by, const std::string &whom)
    {
        HttpAnswer answer = http(fleet->operators(by, "/state"));
        json_t *json =
            json_loadb(answer.body.data(), answer.body.size(), 0, nullptr);
        std::string result;
        size_t i;
        json_t *member;
        json_array_foreach(json_object_get(json, "members"), i, member)
        {
            if (whom == json_string_value(json_object_get(member, "name")) &&
                json_integer_value(json_object_get(member, "incarnation"))) {
                result = json_string_value(json_object_get(member, "state"));
            }
        }
        json_decref(json);
        return result;
    }

    std::atomic<bool> cut{false};
    std::unique_ptr<Fleet> fleet;
    std::vector<std::unique_ptr<TcpProxy>> proxies;
};

TEST_F(ZoneTest, PartitionedZoneKeepsServingAndRejoins)
{
    std::string before = fleet->key(1);
    ASSERT_TRUE(eventually(
        [&] { return fleet->order(3, before).outcome() == "complete"; }));
    cut = true;
    EXPECT_TRUE(eventually([&] { return state(1, "d3") == "dead"; }));
    EXPECT_TRUE(eventually([&] { return state(3, "d1") == "dead"; }));
    EXPECT_EQ(fleet->query(3).outcome(), "complete") << "keeps serving";
    std::string own = fleet->key(3);
    EXPECT_EQ(fleet->order(3, own).outcome(), "complete");
    EXPECT_EQ(fleet->order(1, own).outcome(), "unknown")
        << "only the issuer of a key coordinates it";
    EXPECT_EQ(fleet->order(3, before).outcome(), "unknown");
    fleet->edit(2, 700);
    EXPECT_TRUE(eventually([&] { return fleet->revision(1) == 2; }));
    EXPECT_EQ(fleet->revision(3), 1)
        << "the change cannot have reached the zone";
    cut = false;
    EXPECT_TRUE(eventually([&] { return state(1, "d3") == "alive"; }));
    EXPECT_TRUE(eventually([&] { return fleet->revision(3) == 2; }));
    EXPECT_TRUE(eventually(
        [&] { return fleet->order(1, own).outcome() == "complete"; }));
    EXPECT_EQ(fleet->runs(own), 1);
    EXPECT_EQ(fleet->runs(before), 1);
}
