// Deltas bring any older set of values to the same state, whatever changed in
// between.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "lavenderrail.h"

static const LrTime NOW = 100 * LR_SECOND;

static void
edit(LrValueSet *set, LrRandom *random, int64_t revision)
{
    LrValueSet_SetRevision(set, revision);
    for (int i = 0; i < 3; i++) {
        std::string name =
            "entry/e" + std::to_string(LrRandom_Below(random, 20));
        std::string text = "{\"n\":" + std::to_string(revision) + "}";
        if (LrRandom_Below(random, 4) == 0) {
            LrValueSet_Remove(set, name.c_str(), revision);
        }
        else {
            LrValueSet_Set(set, name.c_str(), revision,
                           LrStr{text.data(), text.size()});
        }
    }
}

TEST(ValueSet, DeltaGivesTheSameValues)
{
    LrRandom *random = LrRandom_New(11);
    LrValueSet *ahead = LrValueSet_New();
    std::vector<LrValueSet *> behind;
    for (int64_t revision = 1; revision <= 60; revision++) {
        edit(ahead, random, revision);
        behind.push_back(LrValueSet_Fork(ahead));
    }
    for (LrValueSet *set : behind) {
        LrArena *arena = LrArena_New();
        LrDeltaMsg delta;
        LrValueSet_MakeDelta(ahead, LrValueSet_Revision(set), NOW, arena,
                             &delta);
        LrValueSet *result = LrValueSet_ApplyDelta(set, &delta, NOW);
        ASSERT_NE(result, nullptr);
        EXPECT_EQ(LrValueSet_Digest(result), LrValueSet_Digest(ahead));
        char *a = LrValueSet_ToJson(result);
        char *b = LrValueSet_ToJson(ahead);
        EXPECT_STREQ(a, b);
        g_free(a);
        g_free(b);
        LrValueSet_Free(result);
        LrArena_Free(arena);
        LrValueSet_Free(set);
    }
    LrValueSet_Free(ahead);
    LrRandom_Free(random);
}

TEST(ValueSet, MismatchedDeltaIsRejectedAndChangesNothing)
{
    LrValueSet *set = LrValueSet_New();
    LrValueSet_SetRevision(set, 5);
    LrValueSet_Set(set, "entry/a", 5, LrStr_FromC("{}"));
    uint64_t digest = LrValueSet_Digest(set);
    LrValueMsg value = {LrStr_FromC("entry/b"), 7, LrStr_FromC("{}")};
    LrDeltaMsg delta;
    LrRecord_Init(&LrDeltaMsg_Descriptor, &delta);
    delta.since = 6;
    delta.revision = 7;
    delta.digest = LrStr_FromC("0");
    delta.values = &value;
    delta.n_values = 1;
    EXPECT_EQ(LrValueSet_ApplyDelta(set, &delta, NOW), nullptr)
        << "a delta since another revision";
    delta.since = 5;
    EXPECT_EQ(LrValueSet_ApplyDelta(set, &delta, NOW), nullptr)
        << "digest differs";
    EXPECT_EQ(LrValueSet_Digest(set), digest);
    LrValueSet_Free(set);
}

TEST(ValueSet, SmallChangeGivesASmallDelta)
{
    LrValueSet *set = LrValueSet_New();
    for (int i = 0; i < 1000; i++) {
        std::string name = "entry/e" + std::to_string(i);
        LrValueSet_Set(set, name.c_str(), 1, LrStr_FromC("{\"x\":1}"));
    }
    LrValueSet_SetRevision(set, 2);
    LrValueSet_Set(set, "entry/e7", 2, LrStr_FromC("{\"x\":2}"));
    LrArena *arena = LrArena_New();
    LrDeltaMsg delta;
    LrValueSet_MakeDelta(set, 1, NOW, arena, &delta);
    EXPECT_EQ(delta.n_values, 1u);
    LrArena_Free(arena);
    LrValueSet_Free(set);
}

static int
count_used(const LrValueSet *set)
{
    int n = 0;
    LrValueSet_Each(
        set,
        [](void *data, const char *, LrStr) { (*static_cast<int *>(data))++; },
        &n);
    return n;
}

// Guards against a delta that contains a held value as if it were not removed:
// the receiver would never learn of its removal.
TEST(ValueSet, HeldValuesExpireAtTheReceiverToo)
{
    LrValueSet *set = LrValueSet_New();
    LrValueSet_SetRevision(set, 1);
    LrValueSet_Set(set, "target/a", 1, LrStr_FromC("{}"));
    LrValueSet *peer = LrValueSet_Fork(set);
    LrValueSet_SetRevision(set, 2);
    LrValueSet_Hold(set, "target/a", 2, NOW + 2 * LR_SECOND);
    EXPECT_EQ(count_used(set), 1);
    LrArena *arena = LrArena_New();
    LrDeltaMsg delta;
    LrValueSet_MakeDelta(set, 1, NOW, arena, &delta);
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
    LrValueSet_Free(set);
}

TEST(ValueSet, AValueThatIsSetAgainIsNotHeld)
{
    LrValueSet *set = LrValueSet_New();
    LrValueSet_Set(set, "target/a", 1, LrStr_FromC("{}"));
    LrValueSet_Hold(set, "target/a", 2, NOW);
    LrValueSet_Set(set, "target/a", 3, LrStr_FromC("{}"));
    LrValueSet_ExpireHeld(set, NOW + LR_SECOND);
    EXPECT_EQ(count_used(set), 1);
    LrValueSet_Free(set);
}
