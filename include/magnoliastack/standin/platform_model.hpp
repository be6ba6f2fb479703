// State machine of the platform: table, object store and lagging host list.
#ifndef MAGNOLIASTACK_STANDIN_PLATFORM_MODEL_HPP
#define MAGNOLIASTACK_STANDIN_PLATFORM_MODEL_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/rpc/platform_link.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnoliastack::standin
{

// Times of the platform.
struct platform_options
{
    // A host drops out of the list this long after its last announce.
    absl::Duration m_announce_bound = absl::Seconds(3);
    // The list shows the state of this long ago.
    absl::Duration m_list_lag;
};

// What becomes of a call.
struct call_fate
{
    // The call fails without an effect.
    bool m_fails = false;
    // No answer is ever sent.
    bool m_unanswered = false;
    // The answer is sent after this delay.
    absl::Duration m_delay;
};

// Holds the platform's state and faults. Writes take effect when they arrive;
// faults of the answer are told by fate_of() and swap_answer_lost().
class platform_model
{
public:
    explicit platform_model(platform_options options);

    // The fate of a call by a host; ask before the call has its effect.
    [[nodiscard]] call_fate fate_of(const std::string& host) const;

    // True when the answer to the swap that just took place is lost; counts
    // down.
    bool swap_answer_lost();

    rpc::row_state read_row(const std::string& key);

    // Writes the value if the row has the expected version; 0 creates it.
    rpc::swap_outcome compare_and_swap(const std::string& key,
                                       std::uint64_t expected_version,
                                       std::string value);

    // Stores content under its SHA-256 in hex; another name is an error.
    base::result<bool> put_object(const std::string& name, std::string content);

    std::optional<std::string> get_object(const std::string& name);

    // A host lives, or with `gone` has stopped.
    void announce(const rpc::listed_host& host, bool gone, base::instant now);

    // The list as of the lag ago.
    rpc::host_list list_hosts(base::instant now);

    void set_outage(bool outage);
    void set_delay(absl::Duration delay);
    void set_drop_swap_answers(std::uint32_t count);
    void set_list_lag(absl::Duration lag);
    void set_cut(std::set<std::string> hosts);
    void set_leaving_endpoints(std::vector<base::endpoint_id> endpoints,
                               base::instant now);

    // Reads of rows and objects.
    [[nodiscard]] std::uint64_t reads() const;
    // Swaps and stored objects, whether or not they changed anything.
    [[nodiscard]] std::uint64_t writes() const;

private:
    struct announcement
    {
        base::instant m_at;
        rpc::listed_host m_host;
        bool m_gone = false;
    };

    void forget_old(base::instant now);

    platform_options m_options;
    std::map<std::string, rpc::row_state> m_rows;
    std::map<std::string, std::string> m_objects;
    std::map<base::host_id, std::deque<announcement>> m_announcements;
    std::deque<std::pair<base::instant, std::vector<base::endpoint_id>>>
        m_leaving_endpoints;
    bool m_outage = false;
    absl::Duration m_delay;
    std::uint32_t m_drop_swaps = 0;
    std::set<std::string> m_cut;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

// SHA-256 of a text, in lower-case hex.
std::string sha256_hex(const std::string& text);

} // namespace magnoliastack::standin

#endif
