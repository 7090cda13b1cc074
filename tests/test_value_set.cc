// Deltas bring any older set of values to the same state, whatever changed in
// between.
#include <gtest/gtest.h>

#include <algorithm>
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

namespace {

// A daemon that holds a long value, and what passes between two of them.
class Holder {
  public:
    Holder() : set(LrValueSet_New()), arena(LrArena_New())
    {
    }
    Holder(const Holder &other)
        : set(LrValueSet_Fork(other.set)), arena(LrArena_New())
    {
    }
    Holder &operator=(const Holder &) = delete;
    ~Holder()
    {
        LrArena_Free(arena);
        LrValueSet_Free(set);
    }
    void
    write(int64_t revision, const std::vector<std::string> &routes)
    {
        std::string text = "{\"version\":" + std::to_string(revision);
        for (const std::string &route : routes) {
            text += ",{\"name\":\"" + route + "\",\"timeout_ms\":1500}";
        }
        text += "}";
        LrValueSet_SetRevision(set, revision);
        LrValueSet_Set(set, "config", revision,
                       LrStr{text.data(), text.size()});
    }
    LrDeltaMsg
    answer(const Holder &asking) const
    {
        LrValueBaseMsg bases[LR_MAX_DELTA_BASES];
        size_t n_bases = LrValueSet_Bases(asking.set, bases);
        LrDeltaMsg delta;
        LrValueSet_MakeDeltaOnBases(set, LrValueSet_Revision(asking.set),
                                    bases, n_bases, NOW, arena, &delta);
        return delta;
    }
    // False when the delta doesn't fit; nothing changes then.
    bool
    take(const LrDeltaMsg &delta)
    {
        LrValueSet *result = LrValueSet_ApplyDelta(set, &delta, NOW);
        if (!result) {
            return false;
        }
        LrValueSet_Free(set);
        set = result;
        return true;
    }
    bool
    operator==(const Holder &other) const
    {
        return LrValueSet_Digest(set) == LrValueSet_Digest(other.set) &&
               LrStr_Equal(LrValueSet_Get(set, "config"),
                           LrValueSet_Get(other.set, "config"));
    }

    LrValueSet *set;
    LrArena *arena;
};

size_t
packed_size(const LrDeltaMsg &delta)
{
    GByteArray *frame = g_byte_array_new();
    LrRecord_Pack(&LrDeltaMsg_Descriptor, &delta, frame);
    size_t size = frame->len;
    g_byte_array_unref(frame);
    return size;
}

std::vector<std::string>
route_names(int n)
{
    std::vector<std::string> names;
    for (int i = 0; i < n; i++) {
        names.push_back("route-" + std::to_string(i));
    }
    return names;
}

constexpr int N_ROUTES = 2000;

} // namespace

TEST(ValueSetPatches, AChangeOfOneRouteIsAsLongAsTheRoute)
{
    Holder ahead;
    std::vector<std::string> routes = route_names(N_ROUTES);
    ahead.write(1, routes);
    Holder behind(ahead);
    routes[700] = "changed";
    routes.insert(routes.begin() + 100, "added");
    routes.erase(routes.begin() + 1500);
    ahead.write(2, routes);
    LrDeltaMsg delta = ahead.answer(behind);
    EXPECT_LT(packed_size(delta), 400u);
    ASSERT_TRUE(behind.take(delta));
    EXPECT_TRUE(behind == ahead);
}

TEST(ValueSetPatches, DaemonsBehindByAnyNumberOfChangesGetTheSame)
{
    LrRandom *random = LrRandom_New(5);
    Holder ahead;
    std::vector<std::string> routes = route_names(N_ROUTES);
    std::vector<Holder> behind;
    for (int64_t revision = 1; revision <= 30; revision++) {
        routes[LrRandom_Below(random, N_ROUTES)] =
            "changed-" + std::to_string(revision);
        ahead.write(revision, routes);
        behind.push_back(ahead);
    }
    int patched = 0;
    for (Holder &holder : behind) {
        LrDeltaMsg delta = ahead.answer(holder);
        patched += delta.n_values > 0 && delta.values[0].n_patches > 0;
        ASSERT_TRUE(holder.take(delta));
        EXPECT_TRUE(holder == ahead);
    }
    EXPECT_GE(patched, 15);
    EXPECT_LT(patched, 29) << "old patches are kept for ever";
    LrRandom_Free(random);
}

// What was learnt by a patch can be passed on as one, also to a daemon that is
// at a revision in between.
TEST(ValueSetPatches, PatchesArePassedOn)
{
    std::vector<std::string> routes = route_names(N_ROUTES);
    Holder first;
    first.write(1, routes);
    Holder second(first);
    Holder third(first);
    routes[5] = "b";
    first.write(2, routes);
    Holder between(first);
    routes[6] = "c";
    first.write(3, routes);
    ASSERT_TRUE(second.take(first.answer(second)));
    for (Holder *last : {&third, &between}) {
        LrDeltaMsg delta = second.answer(*last);
        EXPECT_LT(packed_size(delta), 600u);
        ASSERT_TRUE(last->take(delta));
        EXPECT_TRUE(*last == first);
    }
}

TEST(ValueSetPatches, ADaemonThatNamesNoValueGetsTheText)
{
    Holder ahead;
    std::vector<std::string> routes = route_names(N_ROUTES);
    ahead.write(1, routes);
    Holder behind(ahead);
    routes[9] = "changed";
    ahead.write(2, routes);
    LrDeltaMsg delta;
    LrValueSet_MakeDelta(ahead.set, 1, NOW, ahead.arena, &delta);
    EXPECT_EQ(delta.values[0].n_patches, 0u);
    ASSERT_TRUE(behind.take(delta));
    EXPECT_TRUE(behind == ahead);
}

TEST(ValueSetPatches, PiecesThatAreLostRepeatedOrUnfittingChangeNothing)
{
    std::vector<std::string> routes = route_names(N_ROUTES);
    Holder ahead;
    ahead.write(1, routes);
    const Holder behind(ahead);
    for (int64_t revision = 2; revision <= 4; revision++) {
        routes[(size_t)(500 * revision - 1) % N_ROUTES] =
            "changed-" + std::to_string(revision);
        ahead.write(revision, routes);
    }
    LrDeltaMsg whole = ahead.answer(behind);
    LrTextPatchMsg *patches = whole.values[0].patches;
    ASSERT_EQ(whole.values[0].n_patches, 3u);
    std::vector<std::vector<LrTextPatchMsg>> variants = {
        {patches[0], patches[1]},
        {patches[1], patches[2]},
        {patches[0], patches[2]},
        {patches[0], patches[0], patches[1], patches[2]},
        {patches[0], patches[2], patches[1]},
    };
    for (std::vector<LrTextPatchMsg> &variant : variants) {
        LrDeltaMsg delta = whole;
        LrValueMsg value = whole.values[0];
        value.patches = variant.data();
        value.n_patches = variant.size();
        delta.values = &value;
        Holder receiver(behind);
        bool taken = receiver.take(delta);
        EXPECT_TRUE(receiver == (taken ? ahead : behind));
        // To apply a patch twice may give the same text.
        EXPECT_FALSE(taken && variant.size() <= 3);
    }
    LrPatchPieceMsg *piece = &patches[1].pieces[1];
    for (int64_t from : {piece->from + 1, (int64_t)1 << 40}) {
        LrPatchPieceMsg kept = *piece;
        piece->from = from;
        Holder receiver(behind);
        EXPECT_FALSE(receiver.take(whole));
        EXPECT_TRUE(receiver == behind);
        *piece = kept;
    }
    Holder other;
    other.write(1, route_names(N_ROUTES - 1));
    EXPECT_FALSE(other.take(whole)) << "another text at the same revision";
    Holder receiver(behind);
    ASSERT_TRUE(receiver.take(whole));
    EXPECT_TRUE(receiver == ahead);
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

namespace {

// What a set uses, held or not, as name=text.
std::vector<std::string>
in_use(const LrValueSet *set)
{
    std::vector<std::string> found;
    LrValueSet_Each(
        set,
        [](void *data, const char *name, LrStr text) {
            static_cast<std::vector<std::string> *>(data)->push_back(
                std::string(name) + "=" + std::string(text.ptr, text.len));
        },
        &found);
    std::sort(found.begin(), found.end());
    return found;
}

using Names = std::vector<std::string>;

// A set before a restore from a copy of revision 40, and the same after it.
class RestoredValues : public testing::Test {
  protected:
    void
    SetUp() override
    {
        LrValueSet_SetRevision(base, LrRevision_Make(1, 50));
        set(base, "t/same", 1, 10, "ready");
        set(base, "t/leaving", 1, 45, "leaving");
        set(base, "t/arrived", 1, 46, "ready");
        set(base, "t/rewritten", 1, 47, "old");
        set(base, "t/left", 1, 12, "ready");
        LrValueSet_Remove(base, "t/left", LrRevision_Make(1, 48));
        set(base, "other", 1, 49, "new");
        LrValueSet_SetRevision(restored, LrRevision_Make(2, 52));
        set(restored, "t/same", 2, 10, "ready");
        set(restored, "t/leaving", 2, 11, "ready");
        set(restored, "t/left", 2, 12, "ready");
        set(restored, "t/rewritten", 2, 52, "new");
        set(restored, "other", 2, 20, "old");
        n_held = LrValueSet_HoldNewer(restored, base, "t/", NOW, LR_SECOND);
    }
    void
    TearDown() override
    {
        LrValueSet_Free(base);
        LrValueSet_Free(restored);
    }
    static void
    set(LrValueSet *to, const char *name, int64_t era, int64_t revision,
        const char *text)
    {
        LrValueSet_Set(to, name, LrRevision_Make(era, revision),
                       LrStr_FromC(text));
    }

    LrValueSet *base = LrValueSet_New();
    LrValueSet *restored = LrValueSet_New();
    size_t n_held = 0;
};

} // namespace

TEST_F(RestoredValues, WhatMayBeNewerThanTheCopyIsUsed)
{
    EXPECT_EQ(n_held, 3u);
    EXPECT_EQ(in_use(restored),
              (Names{"other=old", "t/arrived=ready", "t/leaving=leaving",
                     "t/rewritten=new", "t/same=ready"}));
}

TEST_F(RestoredValues, HoldsEnd)
{
    LrValueSet_ExpireHeld(restored, NOW + LR_SECOND);
    EXPECT_EQ(in_use(restored), (Names{"other=old", "t/leaving=leaving",
                                       "t/rewritten=new", "t/same=ready"}))
        << "not registered again";
    EXPECT_EQ(LrValueSet_NextHoldExpiry(restored), NOW + 5 * LR_SECOND);
    LrValueSet_ExpireHeld(restored, NOW + 5 * LR_SECOND);
    EXPECT_EQ(in_use(restored),
              (Names{"other=old", "t/leaving=ready", "t/left=ready",
                     "t/rewritten=new", "t/same=ready"}));
}

TEST_F(RestoredValues, WhatIsWrittenOrRemovedAgainIsNotHeld)
{
    set(restored, "t/leaving", 2, 53, "again");
    set(restored, "t/left", 2, 54, "again");
    EXPECT_EQ(in_use(restored),
              (Names{"other=old", "t/arrived=ready", "t/leaving=again",
                     "t/left=again", "t/rewritten=new", "t/same=ready"}));
    LrValueSet_Remove(restored, "t/leaving", LrRevision_Make(2, 55));
    LrValueSet_Remove(restored, "t/left", LrRevision_Make(2, 56));
    EXPECT_EQ(in_use(restored), (Names{"other=old", "t/arrived=ready",
                                       "t/rewritten=new", "t/same=ready"}));
}

TEST_F(RestoredValues, TravelToPeersWithoutWhatIsHeld)
{
    LrArena *arena = LrArena_New();
    LrDeltaMsg delta;
    LrValueSet_MakeDelta(restored, 0, NOW, arena, &delta);
    LrValueSet *received = LrValueSet_ApplyDelta(base, &delta, NOW);
    ASSERT_NE(received, nullptr);
    EXPECT_EQ(LrValueSet_Digest(received), LrValueSet_Digest(restored));
    LrValueSet_HoldNewer(received, base, "t/", NOW, LR_SECOND);
    EXPECT_EQ(in_use(received), in_use(restored));
    LrValueSet_Free(received);
    LrArena_Free(arena);
}

// A daemon of an earlier build knows no evacuations: its digest would differ,
// and it would refuse each delta, or end an evacuation with a full copy.
TEST(ValueSet, EvacuationsAreInNoDigestAndNoDelta)
{
    LrValueSet *plain = LrValueSet_New();
    LrValueSet_Set(plain, "entry/a", 1, LrStr_FromC("{}"));
    LrValueSet_SetRevision(plain, 2);
    LrValueSet *evacuated = LrValueSet_Fork(plain);
    LrStr zones[] = {LrStr_FromC("z1"), LrStr_FromC("z2")};
    LrValueSet_ReplaceEvacuations(evacuated, 2, zones, 2);
    EXPECT_EQ(LrValueSet_Digest(plain), LrValueSet_Digest(evacuated));

    LrArena *arena = LrArena_New();
    LrDeltaMsg delta;
    LrValueSet_MakeDelta(evacuated, 0, LR_SECOND, arena, &delta);
    EXPECT_EQ(delta.n_values, 1u);

    LrValueSet *newer = LrValueSet_Fork(plain);
    LrValueSet_Set(newer, "entry/a", 3, LrStr_FromC("{\"b\":1}"));
    LrValueSet_SetRevision(newer, 3);
    for (int64_t since : {0, 2}) {
        LrValueSet_MakeDelta(newer, since, LR_SECOND, arena, &delta);
        LrValueSet *result =
            LrValueSet_ApplyDelta(evacuated, &delta, LR_SECOND);
        ASSERT_NE(result, nullptr) << since;
        LrStr known[LR_MAX_EVACUATED_ZONES];
        EXPECT_EQ(LrValueSet_EvacuatedZones(result, known), 2u) << since;
        EXPECT_EQ(LrValueSet_EvacuationsRevision(result), 2) << since;
        LrValueSet_Free(result);
    }
    LrArena_Free(arena);
    LrValueSet_Free(plain);
    LrValueSet_Free(evacuated);
    LrValueSet_Free(newer);
}
