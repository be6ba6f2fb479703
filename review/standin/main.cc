// review-standin SCENARIO RECORD FOLDER: runs one script's scenario.
// TROUBLE=0 in the environment leaves the disruption out.
#include "scenarios.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>

int main(int argc, char** argv)
{
    using scenario = int (*)(const std::string&, const std::string&, bool);
    const std::map<std::string, scenario> scenarios = {
        {"late-promotion", review::late_promotion},
        {"line-feed", review::line_feed},
    };
    const auto found = argc == 4 ? scenarios.find(argv[1]) : scenarios.end();
    if (found == scenarios.end())
    {
        std::cerr << "usage: review-standin SCENARIO RECORD FOLDER\n";
        return review::could_not_run;
    }
    const char* wish = std::getenv("TROUBLE");
    try
    {
        return found->second(argv[2], argv[3],
                             wish == nullptr || std::string(wish) != "0");
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << "\n";
        return review::could_not_run;
    }
}
