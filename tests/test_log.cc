// Log lines: one line an event, escaped so that nothing can forge another.
#include <gtest/gtest.h>

#include <string>

#include "lavenderrail.h"

class LogTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        file = open_memstream(&text, &size);
        log = LrLog_New(file, LOG_INFO);
    }
    void
    TearDown() override
    {
        LrLog_Free(log);
        fclose(file);
        free(text);
    }
    std::string
    line()
    {
        fflush(file);
        return {text, size};
    }

    FILE *file;
    char *text = nullptr;
    size_t size = 0;
    LrLog *log;
};

TEST_F(LogTest, KeyValuePairsWithPriority)
{
    LR_LOG(log, LOG_NOTICE, "started", LrLog_C("name", "entry-1"),
           LrLog_Int("port", 80));
    EXPECT_EQ(line(), "<5>event=started name=entry-1 port=80\n");
}

TEST_F(LogTest, HostileTextStaysInItsField)
{
    LR_LOG(log, LOG_WARNING, "bad",
           LrLog_C("what", "a\n<0>event=forged x=\"1\" \\"));
    EXPECT_EQ(line(), "<4>event=bad "
                      "what=\"a\\x0a<0>event=forged x=\\\"1\\\" \\\\\"\n");
}

TEST_F(LogTest, LowerPrioritiesAreLeftOut)
{
    LR_LOG(log, LOG_DEBUG, "noise", LrLog_Int("n", 1));
    EXPECT_EQ(line(), "");
}
