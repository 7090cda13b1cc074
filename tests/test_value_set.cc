// Deltas bring any older set of values to the same state, whatever changed in
// between.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "lavenderrail.h"

static const LrTime NOW = 100 * LR_SECOND;

static void
edit(LrValueSet *store, LrRandom *random, int64_t revision)
{
    LrValueSet_SetRevision(store, revision);
    for (int i = 0; i < 3; i++) {
        std::string name =
            "entry/e" + std::to_string(LrRandom_Below(random, 20));
        std::string text = "{\"n\":" + std::to_string(revision) + "}";
        if (LrRandom_Below(random, 4) == 0) {
            LrValueSet_Remove(store, name.c_str(), revision);
        }
        else {
            LrValueSet_Set(store, name.c_str(), revision,
                           LrStr{text.data(), text.size()});
        }
    }
}

TEST(Store, DeltaGivesTheSameValues)
{
    LrRandom *random = LrRandom_New(11);
    LrValueSet *ahead = LrValueSet_New();
    std::vector<LrValueSet *> behind;
    for (int64_t revision = 1; revision <= 60; revision++) {
        edit(ahead, random, revision);
        behind.push_back(LrValueSet_Fork(ahead));
    }
    for (LrValueSet *store : behind) {
        LrArena *arena = LrArena_New();
        LrDeltaMsg delta;
        LrValueSet_MakeDelta(ahead, LrValueSet_Revision(store), NOW, arena,
                             &delta);
        LrValueSet *result = LrValueSet_ApplyDelta(store, &delta, NOW);
        ASSERT_NE(result, nullptr);
        EXPECT_EQ(LrValueSet_Digest(result), LrValueSet_Digest(ahead));
        char *a = LrValueSet_ToJson(result);
        char *b = LrValueSet_ToJson(ahead);
        EXPECT_STREQ(a, b);
        g_free(a);
        g_free(b);
        LrValueSet_Free(result);
        LrArena_Free(arena);
        LrValueSet_Free(store);
    }
    LrValueSet_Free(ahead);
    LrRandom_Free(random);
}

TEST(Store, MismatchedDeltaIsRejectedAndChangesNothing)
{
    LrValueSet *store = LrValueSet_New();
    LrValueSet_SetRevision(store, 5);
    LrValueSet_Set(store, "entry/a", 5, LrStr_FromC("{}"));
    uint64_t digest = LrValueSet_Digest(store);
    LrValueMsg value = {LrStr_FromC("entry/b"), 7, LrStr_FromC("{}")};
    LrDeltaMsg delta;
    LrRecord_Init(&LrDeltaMsg_Spec, &delta);
    delta.since = 6;
    delta.revision = 7;
    delta.digest = LrStr_FromC("0");
    delta.values = &value;
    delta.n_values = 1;
    EXPECT_EQ(LrValueSet_ApplyDelta(store, &delta, NOW), nullptr)
        << "a delta since another revision";
    delta.since = 5;
    EXPECT_EQ(LrValueSet_ApplyDelta(store, &delta, NOW), nullptr)
        << "digest differs";
    EXPECT_EQ(LrValueSet_Digest(store), digest);
    LrValueSet_Free(store);
}

TEST(Store, SmallChangeGivesASmallDelta)
{
    LrValueSet *store = LrValueSet_New();
    for (int i = 0; i < 1000; i++) {
        std::string name = "entry/e" + std::to_string(i);
        LrValueSet_Set(store, name.c_str(), 1, LrStr_FromC("{\"x\":1}"));
    }
    LrValueSet_SetRevision(store, 2);
    LrValueSet_Set(store, "entry/e7", 2, LrStr_FromC("{\"x\":2}"));
    LrArena *arena = LrArena_New();
    LrDeltaMsg delta;
    LrValueSet_MakeDelta(store, 1, NOW, arena, &delta);
    EXPECT_EQ(delta.n_values, 1u);
    LrArena_Free(arena);
    LrValueSet_Free(store);
}

static int
count_used(const LrValueSet *store)
{
    int n = 0;
    LrValueSet_Each(
        store,
        [](void *data, const char *, LrStr) { (*static_cast<int *>(data))++; },
        &n);
    return n;
}

// Guards against a delta that contains a held value as if it were not removed:
// the receiver would never learn of its removal.
TEST(Store, HeldValuesExpireAtTheReceiverToo)
{
    LrValueSet *store = LrValueSet_New();
    LrValueSet_SetRevision(store, 1);
    LrValueSet_Set(store, "target/a", 1, LrStr_FromC("{}"));
    LrValueSet *peer = LrValueSet_Fork(store);
    LrValueSet_SetRevision(store, 2);
    LrValueSet_Hold(store, "target/a", 2, NOW + 2 * LR_SECOND);
    EXPECT_EQ(count_used(store), 1);
    LrArena *arena = LrArena_New();
    LrDeltaMsg delta;
    LrValueSet_MakeDelta(store, 1, NOW, arena, &delta);
    LrValueSet *result = LrValueSet_ApplyDelta(peer, &delta, NOW);
    ASSERT_NE(result, nullptr) << "holds are not part of the digest";
    EXPECT_EQ(count_used(result), 1) << "its owner may come back";
    LrValueSet_ExpireHeld(result, NOW + LR_SECOND);
    EXPECT_EQ(count_used(result), 1);
    LrValueSet_ExpireHeld(result, NOW + 2 * LR_SECOND);
    EXPECT_EQ(count_used(result), 0);
    LrArena_Free(arena);
    LrValueSet_Free(result);
    LrValueSet_Free(peer);
    LrValueSet_Free(store);
}

TEST(Store, AValueThatIsSetAgainIsNotHeld)
{
    LrValueSet *store = LrValueSet_New();
    LrValueSet_Set(store, "target/a", 1, LrStr_FromC("{}"));
    LrValueSet_Hold(store, "target/a", 2, NOW);
    LrValueSet_Set(store, "target/a", 3, LrStr_FromC("{}"));
    LrValueSet_ExpireHeld(store, NOW + LR_SECOND);
    EXPECT_EQ(count_used(store), 1);
    LrValueSet_Free(store);
}
