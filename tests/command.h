// Runs a program of the build as a shell command.
#ifndef LAVENDERRAIL_TESTS_COMMAND_H
#define LAVENDERRAIL_TESTS_COMMAND_H

#include <array>
#include <cstdio>
#include <string>
#include <sys/wait.h>

struct Output {
    int status;
    std::string text;
};

// text is the command's standard output and error together.
inline Output
run(const std::string &command)
{
    Output output = {-1, ""};
    FILE *pipe = popen((command + " 2>&1").c_str(), "r");
    std::array<char, 4096> buffer;
    while (size_t got = fread(buffer.data(), 1, buffer.size(), pipe)) {
        output.text.append(buffer.data(), got);
    }
    int status = pclose(pipe);
    output.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return output;
}

inline bool
contains(const Output &output, const char *text)
{
    return output.text.find(text) != std::string::npos;
}

#endif
