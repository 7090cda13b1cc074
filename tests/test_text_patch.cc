// A patch makes the new text from the base, whatever the two are.
#include <gtest/gtest.h>

#include <string>

#include "text_patch.h"

namespace {

constexpr size_t MAX_LEN = 1 << 20;

LrStr
view(const std::string &text)
{
    return LrStr{text.data(), text.size()};
}

std::string
random_text(LrRandom *random, uint32_t n)
{
    static const char *const PARTS[] = {"}",
                                        "{\"name\":\"route-of-some-length\"}",
                                        ",", "0123456789abcdef", "{}"};
    std::string text;
    for (uint32_t i = LrRandom_Below(random, n); i > 0; i--) {
        text += PARTS[LrRandom_Below(random, 5)];
    }
    return text;
}

// The text that the patch makes; "none" when it doesn't fit.
std::string
patched(const LrTextPatch *patch, const std::string &base,
        size_t max_len = MAX_LEN)
{
    size_t len = 0;
    char *made = LrTextPatch_Apply(patch, view(base), max_len, &len);
    std::string text = made ? std::string(made, len) : "none";
    g_free(made);
    return text;
}

} // namespace

TEST(TextPatch, MakesAnyTextFromAnyOther)
{
    LrRandom *random = LrRandom_New(3);
    for (int i = 0; i < 3000; i++) {
        std::string base = random_text(random, 60);
        std::string text = random_text(random, 60);
        LrTextPatch *patch = LrTextPatch_Make(view(base), view(text));
        LrTextPatchMsg message = {};
        LrTextPatch_ToMessage(patch, &message);
        LrTextPatch *received = LrTextPatch_FromMessage(&message);
        EXPECT_EQ(patched(patch, base), text);
        EXPECT_EQ(patched(received, base), text);
        LrTextPatch_Free(received);
        LrTextPatch_Free(patch);
    }
    LrRandom_Free(random);
}

TEST(TextPatch, RangesOutsideTheBaseAndLongTextsAreRefused)
{
    std::string base(100, 'x');
    LrPatchPieceMsg pieces[] = {{0, 100, LrStr_FromC("")},
                                {50, 50, LrStr_FromC("abc")}};
    LrTextPatchMsg message = {0, pieces, 2};
    LrTextPatch *patch = LrTextPatch_FromMessage(&message);
    EXPECT_EQ(patched(patch, base), base + base.substr(50) + "abc");
    EXPECT_EQ(patched(patch, base, 152), "none");
    EXPECT_EQ(patched(patch, base.substr(1)), "none");
    LrTextPatch_Free(patch);
    pieces[1].from = INT64_MAX;
    patch = LrTextPatch_FromMessage(&message);
    EXPECT_EQ(patched(patch, base), "none");
    LrTextPatch_Free(patch);
}
