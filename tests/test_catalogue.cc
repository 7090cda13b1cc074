// Validation of catalogues reports all faults at once, each with path,
// cause and hint.
#include <gtest/gtest.h>

#include <string>

#include "lavenderrail.h"

static const char GOOD[] = R"({"revision": 3, "services": [
 {"name": "s", "maps": [{"version": 1, "groups": [
  {"name": "g", "replicas": [
   {"name": "t", "address": "127.0.0.1:1", "zone": "z"}]}]}]}],
 "entries": [{"name": "e", "owner": "o", "service": "s"}]})";

static std::string
parse_faults(const std::string &text)
{
    LrFaults *faults = LrFaults_New();
    LrCatalogue *catalogue =
        LrCatalogue_Parse(LrStr{text.data(), text.size()}, faults);
    char *all = LrFaults_ToText(faults);
    std::string result = all;
    EXPECT_EQ(catalogue == nullptr, !result.empty());
    g_free(all);
    LrCatalogue_Unref(catalogue);
    LrFaults_Free(faults);
    return result;
}

static std::string
good_with(std::string from, std::string to)
{
    std::string text = GOOD;
    text.replace(text.find(from), from.size(), to);
    return text;
}

TEST(Catalogue, ValidCatalogueIsAccepted)
{
    EXPECT_EQ(parse_faults(GOOD), "");
}

TEST(Catalogue, FaultIsReportedWithPathAndCause)
{
    struct {
        const char *from, *to, *expected;
    } rows[] = {
        {"\"revision\": 3", "\"revision\": 0", "$.revision"},
        {"\"owner\": \"o\", ", "", "$.entries[0].owner: is missing"},
        {"\"service\": \"s\"", "\"service\": \"x\"", "unknown service 'x'"},
        {"127.0.0.1:1", "localhost:1", "replicas[0].address"},
        {"\"owner\"", "\"ownr\"", "unknown member 'ownr'"},
        {"\"version\": 1", "\"version\": 1.5", "is not a whole number"},
        {"\"name\": \"e\"", "\"name\": \"e/f\"", "is not a valid name"},
        {"{\"revision\"", "{{", "line 1"},
    };
    for (const auto &row : rows) {
        std::string got = parse_faults(good_with(row.from, row.to));
        EXPECT_NE(got.find(row.expected), std::string::npos)
            << row.to << " gave: " << got;
    }
}

TEST(Catalogue, AllFaultsAreReportedAtOnce)
{
    std::string text = good_with("\"service\": \"s\"", "\"service\": \"x\"");
    text.replace(text.find("127.0.0.1:1"), 11, "nowhere");
    std::string got = parse_faults(text);
    EXPECT_NE(got.find("unknown service"), std::string::npos);
    EXPECT_NE(got.find("is not an address"), std::string::npos);
}

TEST(Catalogue, DiffListsChangedValues)
{
    LrFaults *faults = LrFaults_New();
    std::string changed = good_with("\"owner\": \"o\"", "\"owner\": \"p\"");
    LrCatalogue *a = LrCatalogue_Parse(LrStr_FromC(GOOD), faults);
    LrCatalogue *b = LrCatalogue_Parse(LrStr_FromC(changed.c_str()), faults);
    ASSERT_TRUE(a && b);
    char *text = LrCatalogue_Diff(a, b);
    EXPECT_STREQ(text, "~ $.entries[e].owner: \"o\" -> \"p\"\n");
    g_free(text);
    LrCatalogue_Unref(a);
    LrCatalogue_Unref(b);
    LrFaults_Free(faults);
}
