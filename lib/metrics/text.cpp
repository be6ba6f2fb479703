#include "magnoliastack/metrics/text.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include <array>
#include <utility>

namespace magnoliastack::metrics
{
namespace
{

std::string text_name(const std::string& name)
{
    return absl::StrCat("magnolia_",
                        absl::StrReplaceAll(name, {{".", "_"}, {"-", "_"}}));
}

} // namespace

std::string to_text(const snapshot_data& data)
{
    std::string text;
    for (const auto& [name, value] : data.m_counters)
        absl::StrAppend(&text, text_name(name), "_total ", value, "\n");
    for (const auto& item : data.m_latencies)
    {
        const std::string name = text_name(item.m_name) + "_seconds";
        const std::array<std::pair<const char*, absl::Duration>, 5> quantiles{
            {{"0.5", item.m_p50},
             {"0.9", item.m_p90},
             {"0.99", item.m_p99},
             {"0.999", item.m_p999},
             {"1", item.m_max}}};
        for (const auto& [quantile, value] : quantiles)
            absl::StrAppend(&text, name, "{quantile=\"", quantile, "\"} ",
                            absl::ToDoubleSeconds(value), "\n");
        absl::StrAppend(&text, name, "_count ", item.m_count, "\n");
    }
    return text;
}

} // namespace magnoliastack::metrics
