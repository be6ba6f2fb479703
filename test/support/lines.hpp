// Messages of the line protocol as the stand-ins and callers of tests read
// them: only CR LF ends one, and any other byte belongs to it.
#ifndef MAGNOLIASTACK_TEST_SUPPORT_LINES_HPP
#define MAGNOLIASTACK_TEST_SUPPORT_LINES_HPP

#include <utility>

#include <boost/asio.hpp>

#include <cstddef>
#include <istream>
#include <string>
#include <string_view>

namespace magnoliastack::test
{

inline constexpr std::string_view line_end = "\r\n";

// Takes the first line of `size` bytes, its end included, and leaves the end
// out.
inline std::string take_line(boost::asio::streambuf& from, std::size_t size)
{
    const auto begin = boost::asio::buffers_begin(from.data());
    std::string line(
        begin, begin + static_cast<std::ptrdiff_t>(size - line_end.size()));
    from.consume(size);
    return line;
}

// Reads one line; false when the stream ends before it does.
inline bool read_line(std::istream& from, std::string& line)
{
    line.clear();
    for (char byte = 0; from.get(byte);)
    {
        line.push_back(byte);
        if (!line.ends_with(line_end))
            continue;
        line.resize(line.size() - line_end.size());
        return true;
    }
    return false;
}

// All bytes in an order without CR LF.
inline std::string all_bytes()
{
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte)
        bytes.push_back(static_cast<char>(byte));
    return bytes;
}

} // namespace magnoliastack::test

#endif
