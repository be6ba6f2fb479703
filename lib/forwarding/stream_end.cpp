#include "stream_end.hpp"

namespace magnoliastack::forwarding
{

const char* to_string(stream_end reason)
{
    switch (reason)
    {
    case stream_end::connection:
        return "connection";
    case stream_end::refused:
        return "refused";
    case stream_end::address:
        return "address";
    case stream_end::frame_too_large:
        return "frame_too_large";
    case stream_end::frame_unreadable:
        return "frame_unreadable";
    case stream_end::hello_missing:
        return "hello_missing";
    case stream_end::hello_rejected:
        return "hello_rejected";
    case stream_end::wrong_direction:
        return "wrong_direction";
    case stream_end::backlog:
        return "backlog";
    case stream_end::silence:
        return "silence";
    case stream_end::idle:
        return "idle";
    case stream_end::paused:
        return "paused";
    case stream_end::replaced:
        return "replaced";
    }
    return "unknown";
}

} // namespace magnoliastack::forwarding
