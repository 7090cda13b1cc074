// Members and elements are delimited as a parser finds them; what can't be
// scanned is told.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "json_scan.h"

namespace {

bool
collect(void *data, LrStr name, LrStr value)
{
    auto *list = static_cast<std::vector<std::string> *>(data);
    list->push_back(std::string(name.ptr, name.len) + ":" +
                    std::string(value.ptr, value.len));
    return true;
}

} // namespace

TEST(JsonScan, MembersOfAnObject)
{
    std::vector<std::string> found;
    EXPECT_TRUE(LrJsonScan_Object(
        LrStr_FromC(" { \"a\" : 1 ,\"b\":[1,{\"x\":\"}]\"}],"
                    "\"c\":\"q\\\"}\", \"d\":null,\"\":{} } "),
        collect, &found));
    EXPECT_EQ(found,
              (std::vector<std::string>{"a:1", "b:[1,{\"x\":\"}]\"}]",
                                        "c:\"q\\\"}\"", "d:null", ":{}"}));
    found.clear();
    EXPECT_TRUE(LrJsonScan_Object(LrStr_FromC("{}"), collect, &found));
    EXPECT_TRUE(LrJsonScan_Array(LrStr_FromC("[ ]"), collect, &found));
    EXPECT_TRUE(found.empty());
    EXPECT_TRUE(
        LrJsonScan_Array(LrStr_FromC("[[],\"a,b\",-1.5e3]"), collect, &found));
    EXPECT_EQ(found, (std::vector<std::string>{":[]", ":\"a,b\"", ":-1.5e3"}));
}

TEST(JsonScan, WhatIsCutOffOrOtherwiseUnusualIsRefused)
{
    std::vector<std::string> found;
    std::string whole = "{\"a\":[1,{\"b\":\"x\\\\\"}],\"c\":2}";
    for (size_t len = 0; len < whole.size(); len++) {
        EXPECT_FALSE(
            LrJsonScan_Object(LrStr{whole.data(), len}, collect, &found))
            << len;
    }
    for (const char *text :
         {"[]", "{\"a\":1}x", "{\"a\":1,}", "{,}", "{\"a\" 1}", "{a:1}",
          "{\"\\u0061\":1}", "{\"a\":}", "{\"a\":1 2}"}) {
        EXPECT_FALSE(LrJsonScan_Object(LrStr_FromC(text), collect, &found))
            << text;
    }
    EXPECT_FALSE(LrJsonScan_Array(LrStr_FromC("[1,,2]"), collect, &found));
    EXPECT_FALSE(LrJsonScan_Array(LrStr_FromC("[1,]"), collect, &found));
}

TEST(JsonScan, AnArrayIsTakenOutOfItsObject)
{
    LrJsonSplit split;
    ASSERT_TRUE(LrJsonScan_SplitArray(
        LrStr_FromC("{\"v\":1,\"list\": [1,2] ,\"w\":{\"list\":[]}}"), "list",
        &split));
    EXPECT_EQ(std::string(split.array.ptr, split.array.len), "[1,2]");
    EXPECT_EQ(std::string(split.rest, split.rest_len),
              "{\"v\":1,\"list\": [] ,\"w\":{\"list\":[]}}");
    g_free(split.rest);
    for (const char *text :
         {"{\"v\":1}", "{\"list\":{}}", "{\"list\":[],\"list\":[]}", "[]"}) {
        EXPECT_FALSE(LrJsonScan_SplitArray(LrStr_FromC(text), "list", &split))
            << text;
    }
}
