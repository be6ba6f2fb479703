// What the review's scripts run. Each returns the script's exit status.
#ifndef REVIEW_STANDIN_SCENARIOS_H
#define REVIEW_STANDIN_SCENARIOS_H

#include <string>

namespace review
{

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

int late_promotion(const std::string& record_path, const std::string& folder,
                   bool trouble);
int line_feed(const std::string& record_path, const std::string& folder,
              bool trouble);

} // namespace review

#endif
