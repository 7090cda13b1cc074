/* Top-k merge of records, compared with a sort of all of them. */
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "merge.h"

namespace {

std::string
merged(const std::vector<std::string> &parts, size_t most)
{
    LrTopK *top = LrTopK_New(most);
    for (const std::string &part : parts) {
        LrTopK_Add(top, {part.data(), part.size()});
    }
    GBytes *bytes = LrTopK_ToBytes(top);
    LrStr text = LrStr_FromBytes(bytes);
    std::string out(text.ptr, text.len);
    g_bytes_unref(bytes);
    LrTopK_Free(top);
    return out;
}

std::string
expected(const std::vector<std::string> &parts, size_t most)
{
    std::vector<std::string> all;
    for (const std::string &part : parts) {
        for (size_t at = 0; at + 16 <= part.size(); at += 16) {
            all.push_back(part.substr(at, 16));
        }
    }
    std::sort(all.begin(), all.end(), std::greater<>());
    std::string out;
    for (size_t i = 0; i < std::min(most, all.size()); i++) {
        out += all[i];
    }
    return out;
}

} // namespace

TEST(Merge, MatchesASortOfAllRecords)
{
    LrRandom *random = LrRandom_New(7);
    for (int round = 0; round < 200; round++) {
        std::vector<std::string> parts;
        size_t n = 1 + LrRandom_Below(random, 12);
        for (size_t i = 0; i < n; i++) {
            std::string part(LrRandom_Below(random, 400), '\0');
            for (char &c : part) {
                c = (char)(LrRandom_Below(random, 3) * 127);
            }
            parts.push_back(part);
        }
        size_t most = LrRandom_Below(random, 30);
        EXPECT_EQ(merged(parts, most), expected(parts, most))
            << "round " << round;
    }
    LrRandom_Free(random);
}

TEST(Merge, ComparesBytesWithoutSign)
{
    std::string low(16, '\x01');
    std::string high(16, '\xff');
    EXPECT_EQ(merged({low + high}, 1), high);
}

TEST(Merge, EqualRecordsAllCount)
{
    std::string record(16, 'x');
    EXPECT_EQ(merged({record + record, record}, 3).size(), 48U);
}
