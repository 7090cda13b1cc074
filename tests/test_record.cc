// Codecs driven by generated tables: a message survives a round trip, and
// invalid data is refused.
#include <gtest/gtest.h>

#include "lavenderrail.h"

class RecordTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        arena = LrArena_New();
        buffer = g_byte_array_new();
        LrRecord_Init(&LrProbeMsg_Descriptor, &probe);
        LrRecord_Init(&LrMemberMsg_Descriptor, &member);
        member.name = LrStr_FromC("d1");
        member.zone = LrStr_FromC("z1");
        member.address = LrStr_FromC("127.0.0.1:1");
        member.incarnation = 7;
        member.state = LR_MEMBER_LEAVING;
        probe.sequence = 99;
        probe.news = &member;
        probe.n_news = 1;
        LrRecord_Pack(&LrProbeMsg_Descriptor, &probe, buffer);
    }
    void
    TearDown() override
    {
        LrArena_Free(arena);
        g_byte_array_unref(buffer);
    }
    LrStr
    bytes(size_t len) const
    {
        return {reinterpret_cast<const char *>(buffer->data), len};
    }

    LrArena *arena;
    GByteArray *buffer;
    LrProbeMsg probe;
    LrMemberMsg member;
};

TEST_F(RecordTest, RoundTrip)
{
    LrProbeMsg got;
    ASSERT_EQ(LrRecord_PeekTag(bytes(buffer->len)), LR_MSG_PROBE);
    ASSERT_TRUE(LrRecord_Unpack(&LrProbeMsg_Descriptor, bytes(buffer->len),
                                &got, arena, nullptr));
    EXPECT_EQ(got.sequence, 99);
    ASSERT_EQ(got.n_news, 1u);
    EXPECT_TRUE(LrStr_EqualC(got.news[0].name, "d1"));
    EXPECT_EQ(got.news[0].state, LR_MEMBER_LEAVING);
}

TEST_F(RecordTest, EveryTruncationIsRefused)
{
    for (size_t len = 0; len < buffer->len; len++) {
        LrProbeMsg got;
        GError *error = nullptr;
        EXPECT_FALSE(LrRecord_Unpack(&LrProbeMsg_Descriptor, bytes(len), &got,
                                     arena, &error));
        ASSERT_NE(error, nullptr);
        g_error_free(error);
    }
}

TEST_F(RecordTest, MessageOfAnotherTypeIsRefused)
{
    LrHelloMsg got;
    EXPECT_FALSE(LrRecord_Unpack(&LrHelloMsg_Descriptor, bytes(buffer->len),
                                 &got, arena, nullptr));
}

TEST_F(RecordTest, EnumOutOfRangeIsRefused)
{
    member.state = static_cast<LrMemberState>(99);
    g_byte_array_set_size(buffer, 0);
    LrRecord_Pack(&LrMemberMsg_Descriptor, &member, buffer);
    LrMemberMsg got;
    EXPECT_FALSE(LrRecord_Unpack(&LrMemberMsg_Descriptor, bytes(buffer->len),
                                 &got, arena, nullptr));
}

// msgpack-c would allocate by the length that a message claims.
TEST(RecordLimits, LengthsBeyondTheDataAreRefused)
{
    const char arrays[] = "\xdd\xdd\xdd\xdd\x85";
    EXPECT_EQ(LrRecord_PeekTag(LrStr{arrays, 5}), -1);
    const char bytes[] = "\x92\x02\xc6\xff\xff\xff\xff";
    EXPECT_EQ(LrRecord_PeekTag(LrStr{bytes, 7}), -1);
    const char map[] = "\x92\x02\xdf\x7f\xff\xff\xff";
    EXPECT_EQ(LrRecord_PeekTag(LrStr{map, 7}), -1);
}

// A later build may know more choices of a field that is open to them.
TEST_F(RecordTest, AnUnknownChoiceOfAnOpenFieldIsItsDefault)
{
    LrForwardAnswerMsg answer;
    LrRecord_Init(&LrForwardAnswerMsg_Descriptor, &answer);
    answer.request_id = LrStr_FromC("r1");
    answer.why = (LrDeclineReason)LR_DECLINE_COUNT;
    g_byte_array_set_size(buffer, 0);
    LrRecord_Pack(&LrForwardAnswerMsg_Descriptor, &answer, buffer);
    LrForwardAnswerMsg read;
    ASSERT_TRUE(LrRecord_Unpack(&LrForwardAnswerMsg_Descriptor,
                                bytes(buffer->len), &read, arena, nullptr));
    EXPECT_EQ(read.why, LR_DECLINE_UNSTATED);
    EXPECT_TRUE(LrStr_EqualC(read.request_id, "r1"));
}
