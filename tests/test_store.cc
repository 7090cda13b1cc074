// Deltas bring any store to the same state, whatever was changed between.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "lavenderrail.h"

static const LrTime NOW = 100 * LR_SECOND;

static void
edit(LrStore *store, LrRandom *random, int64_t revision)
{
    LrStore_SetRevision(store, revision);
    for (int i = 0; i < 3; i++) {
        std::string name =
            "entry/e" + std::to_string(LrRandom_Below(random, 20));
        std::string text = "{\"n\":" + std::to_string(revision) + "}";
        if (LrRandom_Below(random, 4) == 0) {
            LrStore_Remove(store, name.c_str(), revision);
        }
        else {
            LrStore_Set(store, name.c_str(), revision,
                        LrStr{text.data(), text.size()});
        }
    }
}

TEST(Store, DeltaGivesTheSameStore)
{
    LrRandom *random = LrRandom_New(11);
    LrStore *ahead = LrStore_New();
    std::vector<LrStore *> behind;
    for (int64_t revision = 1; revision <= 60; revision++) {
        edit(ahead, random, revision);
        behind.push_back(LrStore_Fork(ahead));
    }
    for (LrStore *store : behind) {
        LrArena *arena = LrArena_New();
        LrDeltaMsg delta;
        LrStore_Delta(ahead, LrStore_Revision(store), NOW, arena, &delta);
        LrStore *result = LrStore_Apply(store, &delta, NOW);
        ASSERT_NE(result, nullptr);
        EXPECT_EQ(LrStore_Digest(result), LrStore_Digest(ahead));
        char *a = LrStore_Assemble(result);
        char *b = LrStore_Assemble(ahead);
        EXPECT_STREQ(a, b);
        g_free(a);
        g_free(b);
        LrStore_Free(result);
        LrArena_Free(arena);
        LrStore_Free(store);
    }
    LrStore_Free(ahead);
    LrRandom_Free(random);
}

TEST(Store, UnfitDeltaIsRefusedAndChangesNothing)
{
    LrStore *store = LrStore_New();
    LrStore_SetRevision(store, 5);
    LrStore_Set(store, "entry/a", 5, LrStr_FromC("{}"));
    uint64_t digest = LrStore_Digest(store);
    LrValueMsg value = {LrStr_FromC("entry/b"), 7, LrStr_FromC("{}")};
    LrDeltaMsg delta;
    LrRecord_Init(&LrDeltaMsg_Spec, &delta);
    delta.since = 6;
    delta.revision = 7;
    delta.digest = LrStr_FromC("0");
    delta.values = &value;
    delta.n_values = 1;
    EXPECT_EQ(LrStore_Apply(store, &delta, NOW), nullptr)
        << "for another base";
    delta.since = 5;
    EXPECT_EQ(LrStore_Apply(store, &delta, NOW), nullptr) << "digest differs";
    EXPECT_EQ(LrStore_Digest(store), digest);
    LrStore_Free(store);
}

TEST(Store, SmallChangeIsASmallDelta)
{
    LrStore *store = LrStore_New();
    for (int i = 0; i < 1000; i++) {
        std::string name = "entry/e" + std::to_string(i);
        LrStore_Set(store, name.c_str(), 1, LrStr_FromC("{\"x\":1}"));
    }
    LrStore_SetRevision(store, 2);
    LrStore_Set(store, "entry/e7", 2, LrStr_FromC("{\"x\":2}"));
    LrArena *arena = LrArena_New();
    LrDeltaMsg delta;
    LrStore_Delta(store, 1, NOW, arena, &delta);
    EXPECT_EQ(delta.n_values, 1u);
    LrArena_Free(arena);
    LrStore_Free(store);
}

static int
count_used(const LrStore *store)
{
    int n = 0;
    LrStore_Each(
        store,
        [](void *data, const char *, LrStr) { (*static_cast<int *>(data))++; },
        &n);
    return n;
}

// Fails when a held value travels as if it were there: the receiver would
// never hear that it is gone.
TEST(Store, HeldValuesEndAtTheReceiverToo)
{
    LrStore *store = LrStore_New();
    LrStore_SetRevision(store, 1);
    LrStore_Set(store, "target/a", 1, LrStr_FromC("{}"));
    LrStore *peer = LrStore_Fork(store);
    LrStore_SetRevision(store, 2);
    LrStore_Hold(store, "target/a", 2, NOW + 2 * LR_SECOND);
    EXPECT_EQ(count_used(store), 1);
    LrArena *arena = LrArena_New();
    LrDeltaMsg delta;
    LrStore_Delta(store, 1, NOW, arena, &delta);
    LrStore *result = LrStore_Apply(peer, &delta, NOW);
    ASSERT_NE(result, nullptr) << "holds are no part of the digest";
    EXPECT_EQ(count_used(result), 1) << "its owner may come back";
    LrStore_Release(result, NOW + LR_SECOND);
    EXPECT_EQ(count_used(result), 1);
    LrStore_Release(result, NOW + 2 * LR_SECOND);
    EXPECT_EQ(count_used(result), 0);
    LrArena_Free(arena);
    LrStore_Free(result);
    LrStore_Free(peer);
    LrStore_Free(store);
}

TEST(Store, AValueThatIsSetAgainIsNotHeld)
{
    LrStore *store = LrStore_New();
    LrStore_Set(store, "target/a", 1, LrStr_FromC("{}"));
    LrStore_Hold(store, "target/a", 2, NOW);
    LrStore_Set(store, "target/a", 3, LrStr_FromC("{}"));
    LrStore_Release(store, NOW + LR_SECOND);
    EXPECT_EQ(count_used(store), 1);
    LrStore_Free(store);
}
