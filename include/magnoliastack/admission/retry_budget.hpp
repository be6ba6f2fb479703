// Bounds retries to a part of the traffic.
#ifndef MAGNOLIASTACK_ADMISSION_RETRY_BUDGET_HPP
#define MAGNOLIASTACK_ADMISSION_RETRY_BUDGET_HPP

namespace magnoliastack::admission
{

// Size of a retry budget.
struct retry_budget_options
{
    // Retries allowed per first attempt.
    double m_ratio = 0.2;
    // Unused retries that are kept, and the start value. Lets a host with
    // little traffic repeat at all.
    double m_reserve = 10;
};

// Each first attempt earns a part of a retry; each retry costs one.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    // Counts a first attempt.
    void attempt_started();

    // Takes one retry; false when the budget is used up.
    bool try_retry();

private:
    retry_budget_options m_options;
    double m_available;
};

} // namespace magnoliastack::admission

#endif
