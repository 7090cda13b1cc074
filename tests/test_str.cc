// Parsing of integers and addresses.
#include <gtest/gtest.h>

#include "lavenderrail.h"

TEST(Str, ParsesIntegersOnlyWithoutTrailingText)
{
    int64_t n;
    EXPECT_TRUE(LrStr_ToInt(LrStr_FromC("42"), &n));
    EXPECT_EQ(n, 42);
    EXPECT_FALSE(LrStr_ToInt(LrStr_FromC("42x"), &n));
    EXPECT_FALSE(LrStr_ToInt(LrStr_FromC(""), &n));
    EXPECT_FALSE(LrStr_ToInt(LrStr_FromC("99999999999999999999"), &n));
    EXPECT_FALSE(LrStr_ToInt(LrStr{"1\0", 2}, &n));
}

TEST(Str, ParsesNumericAddressesOnly)
{
    char host[64];
    uint16_t port;
    EXPECT_TRUE(LrStr_ToAddress(LrStr_FromC("127.0.0.1:80"), host,
                                sizeof(host), &port));
    EXPECT_EQ(port, 80);
    EXPECT_TRUE(
        LrStr_ToAddress(LrStr_FromC("[::1]:9000"), host, sizeof(host), &port));
    EXPECT_STREQ(host, "::1");
    for (const char *bad : {"localhost:80", "127.0.0.1", "127.0.0.1:0",
                            "127.0.0.1:65536", ":80", "127.0.0.1:8a", ""}) {
        EXPECT_FALSE(
            LrStr_ToAddress(LrStr_FromC(bad), host, sizeof(host), &port))
            << bad;
    }
}
