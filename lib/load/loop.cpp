#include "magnoliastack/load/loop.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::load
{

void loop::post(work what)
{
    at(m_clock.now(), std::move(what));
}

void loop::after(absl::Duration delay, work what)
{
    at(m_clock.now() + delay, std::move(what));
}

void loop::at(base::instant when, work what)
{
    const absl::MutexLock lock(&m_mutex);
    m_work.emplace(when, std::move(what));
}

base::instant loop::now() const
{
    return m_clock.now();
}

bool loop::run(const std::function<bool()>& done, base::instant until)
{
    while (!done())
    {
        work next;
        {
            const absl::MutexLock lock(&m_mutex);
            const base::instant present = m_clock.now();
            const base::instant wanted =
                m_work.empty() ? until : std::min(until, m_work.begin()->first);
            if (wanted > present)
            {
                const auto is_earlier = [this, wanted]
                {
                    return !m_work.empty() && m_work.begin()->first < wanted;
                };
                m_mutex.AwaitWithTimeout(absl::Condition(&is_earlier),
                                         wanted - present);
                continue;
            }
            if (m_work.empty() || m_work.begin()->first > present)
                return false;
            next = std::move(m_work.extract(m_work.begin()).mapped());
        }
        next();
    }
    return true;
}

} // namespace magnoliastack::load
