/* Messages byte for byte, whatever the pieces they come in; what could be
 * read in two ways is refused. */
#include <gtest/gtest.h>

#include <string>

#include "http1.h"

namespace {

std::string
str(LrStr text)
{
    return std::string(text.ptr ? text.ptr : "", text.len);
}

LrMessageState
feed(LrMessage *message, const std::string &text, size_t piece,
     size_t *total = nullptr)
{
    LrMessageState state = LR_MESSAGE_PARTIAL;
    size_t at = 0;
    while (at < text.size() && state == LR_MESSAGE_PARTIAL) {
        size_t used;
        size_t len = std::min(piece, text.size() - at);
        state = LrMessage_Feed(message, text.data() + at, len, &used);
        at += used;
        if (used == 0) {
            break;
        }
    }
    if (total) {
        *total = at;
    }
    return state;
}

LrMessageState
request_state(const std::string &text, size_t piece = 1 << 20)
{
    LrMessage *message = LrMessage_NewRequest();
    LrMessage_SetBounds(message, 4096, 4096);
    LrMessageState state = feed(message, text, piece);
    LrMessage_Free(message);
    return state;
}

const char REQUEST[] = "POST /a%2Fb/../c?x=%20&y HTTP/1.1\r\n"
                       "Host: one.example\r\n"
                       "X-Thing:  spaced \r\n"
                       "X-Empty:\r\n"
                       "Content-Length: 5\r\n\r\nhello";

} // namespace

TEST(Http1, RequestIsReadAlikeInPiecesOfAnySize)
{
    std::string text = std::string(REQUEST) + "GET / HTTP/1.1\r\n";
    for (size_t piece = 1; piece <= text.size(); piece++) {
        LrMessage *message = LrMessage_NewRequest();
        size_t used;
        ASSERT_EQ(feed(message, text, piece, &used), LR_MESSAGE_COMPLETE);
        EXPECT_EQ(used, sizeof(REQUEST) - 1) << "piece " << piece;
        EXPECT_EQ(str(LrMessage_Target(message)), "/a%2Fb/../c?x=%20&y");
        EXPECT_EQ(str(LrMessage_Path(message)), "/a%2Fb/../c");
        EXPECT_EQ(str(LrMessage_Header(message, "x-thing")), "spaced ");
        EXPECT_EQ(str(LrMessage_Header(message, "X-Empty")), "");
        GBytes *body = LrMessage_TakeBody(message);
        EXPECT_EQ(str(LrStr_FromBytes(body)), "hello");
        g_bytes_unref(body);
        EXPECT_TRUE(LrMessage_IsKept(message));
        LrMessage_Free(message);
    }
}

TEST(Http1, AmbiguousRequestsAreRefused)
{
    const char *const heads[] = {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        "Content-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
        "GET / x HTTP/1.1\r\nHost: a\r\n\r\n",
        "\x16\x03\x01 hello\r\n\r\n",
    };
    for (const char *head : heads) {
        EXPECT_EQ(request_state(head), LR_MESSAGE_MALFORMED) << head;
        EXPECT_EQ(request_state(head, 1), LR_MESSAGE_MALFORMED) << head;
    }
}

TEST(Http1, BoundsHold)
{
    std::string large(5000, 'x');
    EXPECT_EQ(request_state("GET / HTTP/1.1\r\nX: " + large + "\r\n\r\n"),
              LR_MESSAGE_HEAD_TOO_LARGE);
    EXPECT_EQ(request_state("GET / HTTP/1.1\r\nX: " + large, 7),
              LR_MESSAGE_HEAD_TOO_LARGE);
    EXPECT_EQ(request_state("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"),
              LR_MESSAGE_BODY_TOO_LARGE);
    EXPECT_EQ(request_state("POST / HTTP/1.1\r\nTransfer-Encoding: chunked"
                            "\r\n\r\n1388\r\n" +
                            large + "\r\n0\r\n\r\n"),
              LR_MESSAGE_BODY_TOO_LARGE);
}

TEST(Http1, ResponseWithoutLengthEndsWithItsConnection)
{
    LrMessage *message = LrMessage_NewResponse();
    EXPECT_EQ(feed(message, "HTTP/1.1 200 OK\r\n\r\nsome", 3),
              LR_MESSAGE_PARTIAL);
    EXPECT_EQ(LrMessage_FeedEnd(message), LR_MESSAGE_COMPLETE);
    EXPECT_FALSE(LrMessage_IsKept(message));
    LrMessage_Free(message);
}

TEST(Http1, ResponseCutShortIsNotComplete)
{
    for (const char *text :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome", "HTTP/1.1 200",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nso"}) {
        LrMessage *message = LrMessage_NewResponse();
        EXPECT_EQ(feed(message, text, 100), LR_MESSAGE_PARTIAL);
        EXPECT_EQ(LrMessage_FeedEnd(message), LR_MESSAGE_MALFORMED) << text;
        LrMessage_Free(message);
    }
}

TEST(Http1, InterimResponsesArePassedOver)
{
    LrMessage *message = LrMessage_NewResponse();
    EXPECT_EQ(feed(message,
                   "HTTP/1.1 100 Continue\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                   11),
              LR_MESSAGE_COMPLETE);
    EXPECT_EQ(LrMessage_Status(message), 200U);
    LrMessage_Free(message);
}

TEST(Http1, ResponseToHeadHasNoBody)
{
    LrMessage *message = LrMessage_NewResponse();
    LrMessage_SetBodyless(message);
    EXPECT_EQ(feed(message, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 9),
              LR_MESSAGE_COMPLETE);
    LrMessage_Free(message);
}

TEST(Http1, HeadersOfOneConnectionAreTold)
{
    LrMessage *message = LrMessage_NewRequest();
    feed(message,
         "GET / HTTP/1.1\r\nConnection: keep-alive, X-Mine\r\nX-Mine: 1\r\n"
         "X-Other: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         9);
    EXPECT_TRUE(LrHeader_IsHopByHop(message, LrStr_FromC("x-mine")));
    EXPECT_TRUE(
        LrHeader_IsHopByHop(message, LrStr_FromC("transfer-encoding")));
    EXPECT_FALSE(LrHeader_IsHopByHop(message, LrStr_FromC("X-Other")));
    LrMessage_Free(message);
}
