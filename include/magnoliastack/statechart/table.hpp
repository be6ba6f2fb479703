// Charts as tables for the documentation.
#ifndef MAGNOLIASTACK_STATECHART_TABLE_HPP
#define MAGNOLIASTACK_STATECHART_TABLE_HPP

#include "magnoliastack/statechart/chart.hpp"

#include <string>

namespace magnoliastack::statechart
{

// A Markdown table with one row for each transition: state, event, next state,
// actions. Final states have a row of their own.
std::string to_table(const chart& plan);

} // namespace magnoliastack::statechart

#endif
