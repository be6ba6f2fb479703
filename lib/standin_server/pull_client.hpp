// Pulls of an endpoint from the other members of its group.
#ifndef MAGNOLIASTACK_LIB_STANDIN_SERVER_PULL_CLIENT_HPP
#define MAGNOLIASTACK_LIB_STANDIN_SERVER_PULL_CLIENT_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/grpc_calls/live_calls.hpp"
#include "magnoliastack/standin/endpoint_model.hpp"
#include "magnoliastack/v1/endpoint.grpc.pb.h"

#include "absl/time/time.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace magnoliastack::standin_server
{

// A pull waits for 50 ms at the primary; a longer silence is a lost pull.
inline constexpr absl::Duration pull_timeout = absl::Milliseconds(500);

// Answers come from gRPC's threads.
class pull_client
{
public:
    using callback = std::function<void(base::result<standin::pull_answer>)>;

    explicit pull_client(
        const std::map<base::endpoint_id, std::string>& addresses);

    // Cancels what is under way and waits for its callbacks. No pull may be
    // started any more.
    void stop();

    // False when the member's address is not known.
    bool pull(const base::endpoint_id& member,
              const standin::pull_request& request, callback done);

private:
    struct call
    {
        grpc::ClientContext m_context;
        v1::PullRequest m_request;
        v1::PullResponse m_response;
    };

    // Outlives the client until the last callback has let go of the mutex.
    struct calls_under_way
    {
        std::mutex m_mutex;
        grpc_calls::live_calls m_live;
        std::set<std::shared_ptr<call>> m_under_way;
    };

    std::map<base::endpoint_id, std::unique_ptr<v1::Endpoint::Stub>> m_stubs;
    std::shared_ptr<calls_under_way> m_calls =
        std::make_shared<calls_under_way>();
};

} // namespace magnoliastack::standin_server

#endif
