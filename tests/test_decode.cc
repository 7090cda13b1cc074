// Configurations of the platform's store are translated to the same text,
// whatever the decoder has translated before: peers compare digests of it.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "platform.h"

namespace {

std::string
config(const std::vector<std::string> &routes, int version)
{
    std::string text =
        "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (size_t i = 0; i < routes.size(); i++) {
        text += (i > 0 ? "," : "") + routes[i];
    }
    return text + "],\"services\":[{\"name\":\"s\",\"max_connections\":" +
           std::to_string(version) + "}],\"limits\":{}}";
}

std::string
route(int id, int timeout_ms)
{
    return "{\"name\":\"r" + std::to_string(id) +
           "\",\"host\":\"a.example\",\"prefix\":\"/" + std::to_string(id) +
           "/\",\"type\":\"idempotent\",\"timeout_ms\":" +
           std::to_string(timeout_ms) + ",\"service\":\"s\"}";
}

// The translated text, or why there is none.
std::string
decode(LrPlatformDecoder *decoder, const std::string &stored)
{
    const char *why = nullptr;
    LrStr text = {stored.data(), stored.size()};
    char *decoded = decoder ? LrPlatformDecoder_Config(decoder, text, &why)
                            : LrPlatform_DecodeConfig(text, &why);
    std::string result = decoded ? decoded : why;
    g_free(decoded);
    return result;
}

} // namespace

TEST(Decode, ARouteIsWrittenAsFormerBuildsWroteIt)
{
    EXPECT_EQ(decode(nullptr, config({route(1, 20)}, 3)),
              "{\"version\":3,\"routes\":[{\"name\":\"r1\",\"host\":"
              "\"a.example\",\"prefix\":\"/1/\",\"timeout_ms\":20,"
              "\"idempotent\":true,\"scatter\":false,\"backends\":[{"
              "\"shards\":[{\"service\":\"s\"}]}]}],\"pools\":[{\"name\":"
              "\"s\",\"connections\":3}]}");
    EXPECT_EQ(decode(nullptr, "{\"version\":3}"),
              "{\"version\":3,\"routes\":[],\"pools\":[]}");
    EXPECT_EQ(decode(nullptr, "{\"version\":3,\"rout\\u0065s\":[{}]}"),
              "{\"version\":3,\"routes\":[{\"idempotent\":false,"
              "\"scatter\":false,\"backends\":[]}],\"pools\":[]}");
}

TEST(Decode, WhatWasTranslatedBeforeMakesNoDifference)
{
    LrRandom *random = LrRandom_New(9);
    LrPlatformDecoder *decoder = LrPlatformDecoder_New();
    std::vector<std::string> routes;
    for (int step = 0; step < 300; step++) {
        int id = (int)LrRandom_Below(random, 20);
        size_t at = LrRandom_Below(random, (uint32_t)routes.size() + 1);
        if (LrRandom_Below(random, 3) == 0 && at < routes.size()) {
            routes.erase(routes.begin() + (long)at);
        }
        else {
            routes.insert(routes.begin() + (long)at, route(id, step % 7));
        }
        std::string stored = config(routes, step);
        EXPECT_EQ(decode(decoder, stored), decode(nullptr, stored));
        std::string broken = stored;
        broken.resize(LrRandom_Below(random, (uint32_t)stored.size()));
        EXPECT_EQ(decode(decoder, broken), "not a JSON object");
    }
    LrPlatformDecoder_Free(decoder);
    LrRandom_Free(random);
}
