#include "token_file.hpp"

#include "magnoliastack/settings/file.hpp"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <system_error>
#include <unistd.h>

namespace magnoliastack::query
{

base::result<std::string> read_token(const std::string& path)
{
    std::error_code ignored;
    if (!std::filesystem::exists(path, ignored))
        return std::string();
    auto content = settings::read_file(path);
    if (!content)
        return base::fail(base::error_code::invalid_argument,
                          path +
                              " cannot be read: " + content.error().m_message);
    return content;
}

base::result<bool> write_token(const std::string& path,
                               const std::string& token)
{
    const std::string fresh = path + "." + std::to_string(getpid());
    const int file =
        ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
               S_IRUSR | S_IWUSR);
    const bool written =
        file >= 0 && ::write(file, token.data(), token.size()) ==
                         static_cast<ssize_t>(token.size());
    const int reason = errno;
    if (file >= 0)
        ::close(file);
    if (written && std::rename(fresh.c_str(), path.c_str()) == 0)
        return true;
    const std::string fault =
        path + " cannot be written: " + std::strerror(written ? errno : reason);
    std::remove(fresh.c_str());
    return base::fail(base::error_code::unavailable, fault);
}

} // namespace magnoliastack::query
