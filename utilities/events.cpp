#include "libraries/catalogue/catalogue.hpp"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Prints the catalogue of log events as Markdown (docs/EVENTS.md).");
    absl::ParseCommandLine(argc, argv);
    std::cout << bulrushspring::catalogue::to_markdown();
    return 0;
}
