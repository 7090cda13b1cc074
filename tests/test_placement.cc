// Choice of a replica by expected finish, against targets of many kinds.
#include "routed_world.h"

namespace {

// First attempts that went to an address, of so many requests, where it
// refuses each second request and the others answer in 10 ms.
int
firsts_at(Routed &world, const std::string &address, LrReplyStatus status,
          int n_requests)
{
    int n_firsts = 0;
    int n_there = 0;
    for (int i = 0; i < n_requests; i++) {
        world.submit("ask", false, ("r" + std::to_string(i)).c_str());
        n_firsts += world.sends.front().address == address;
        while (!world.sends.empty()) {
            Send send = world.take();
            bool there = send.address == address;
            bool fault = there && n_there++ % 2 == 0;
            world.advance(10 * World::kMs);
            world.reply(send, fault ? status : LR_REPLY_OK);
        }
        world.advance(100 * World::kMs);
    }
    return n_firsts;
}

const char LOCAL[] = "127.0.0.0:1";

} // namespace

TEST(Placement, TheLocalReplicaIsPreferred)
{
    Routed world(1, 3);
    world.warm();
    EXPECT_EQ(firsts_at(world, LOCAL, LR_REPLY_OK, 100), 100);
}

// A target that refuses some requests and serves others is never ejected:
// its answers in between end each series of failures.
TEST(Placement, ATargetThatRefusesEachSecondRequestIsAvoided)
{
    Routed world(1, 3);
    world.warm();
    EXPECT_LE(firsts_at(world, LOCAL, LR_REPLY_SHED, 100), 20);
}

TEST(Placement, ATargetThatFailsEachSecondRequestIsAvoided)
{
    Routed world(1, 3);
    world.warm();
    EXPECT_LE(firsts_at(world, LOCAL, LR_REPLY_ERROR, 100), 20);
}

TEST(Placement, ATargetThatServesAgainIsUsedAgain)
{
    Routed world(1, 3);
    world.warm();
    firsts_at(world, LOCAL, LR_REPLY_SHED, 50);
    firsts_at(world, LOCAL, LR_REPLY_OK, 50);
    EXPECT_GE(firsts_at(world, LOCAL, LR_REPLY_OK, 50), 45);
}
