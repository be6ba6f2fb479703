#include "platform/documents.hpp"
#include "platform/text_codec.hpp"

#include <random>
#include <string>

#include <criterion/criterion.h>

using namespace magnoliastack::platform;
namespace base = magnoliastack::base;
namespace rpc = magnoliastack::rpc;
using rpc::statement_kind;

Test(text_codec, statements_keep_their_id_and_text)
{
    const auto read = parse_statement("QUERY 5c0e READ 1a4");
    cr_assert(read && read->m_kind == statement_kind::read);
    cr_assert_eq(read->m_id, "5c0e");
    cr_assert_eq(read->m_text, "READ 1a4");
    const auto prepare = parse_statement("QUERY 1 PREPARE s1 WRITE q2c x");
    cr_assert(prepare && prepare->m_kind == statement_kind::prepare);
    cr_assert(prepare->m_prepares_write);
    cr_assert_eq(prepare->m_argument, "q2c x");
    cr_assert(parse_statement("QUERY 1 BEGIN READ")->m_kind ==
              statement_kind::begin_read_only);
}

// A client never sends a log point; passing one on would let it choose.
Test(text_codec, a_log_point_of_a_caller_is_malformed)
{
    cr_assert(parse_statement("QUERY 1 AFTER 3.1 READ x")->m_kind ==
              statement_kind::malformed);
    cr_assert(parse_statement("QUERY 1 STATUS")->m_kind ==
              statement_kind::malformed);
    cr_assert(parse_statement("QUERY 1 STEPDOWN 9")->m_kind ==
              statement_kind::malformed);
    cr_assert_not(parse_statement("HELLO").has_value());
}

Test(text_codec, requests_are_written_as_endpoints_expect_them)
{
    rpc::endpoint_request request;
    request.m_id = "ab";
    request.m_text = "READ 1a4";
    request.m_after = base::log_point{base::term(3), base::log_position(1207)};
    cr_assert_eq(request_line(request), "QUERY ab AFTER 3.1207 READ 1a4\r\n");
    rpc::endpoint_request down;
    down.m_action = rpc::endpoint_request::action::step_down;
    down.m_term = base::term(4);
    cr_assert_eq(request_line(down), "QUERY - STEPDOWN 4\r\n");
}

Test(text_codec, answers_of_endpoints_are_read)
{
    const auto ready = parse_endpoint_line("READY E 3.1209");
    cr_assert(ready.m_kind == endpoint_line::kind::ready);
    cr_assert(ready.m_state == rpc::transaction_state::failed);
    cr_assert_eq(ready.m_position->m_position.value(), 1209);
    const auto error = parse_endpoint_line("ERR READONLY i-7f3a91c2");
    cr_assert(error.m_error == rpc::statement_error::read_only);
    const auto report = parse_report("replica 3 3.1209 0 12 2 17");
    cr_assert(report && !report->m_primary);
    cr_assert_eq(report->m_connections, 17);
    cr_assert_not(parse_report("replica x").has_value());
}

Test(text_codec, lines_are_found_in_any_pieces)
{
    const std::string stream = "START a b\r\nQUERY 1 READ x\r\nQUIT\r\n";
    std::mt19937 random(3);
    for (int run = 0; run < 200; ++run)
    {
        line_buffer lines;
        std::string found;
        for (std::size_t at = 0; at < stream.size();)
        {
            const std::size_t size = 1 + random() % 7;
            lines.append(std::string_view(stream).substr(at, size));
            at += size;
            while (const auto line = lines.next())
                found += std::string(*line) + "|";
        }
        cr_assert_eq(found, "START a b|QUERY 1 READ x|QUIT|");
    }
}

// A line feed or a carriage return that stands alone ended the line, and the
// rest of the data became a message of its own.
Test(text_codec, only_both_bytes_of_a_line_end_end_a_line)
{
    const std::string data = "QUERY 1 WRITE a \n\nb\rc\r\r\nQUERY 2 READ \r\n";
    for (std::size_t cut = 1; cut < data.size(); ++cut)
    {
        line_buffer lines;
        std::string found;
        for (const auto& piece : {data.substr(0, cut), data.substr(cut)})
        {
            lines.append(piece);
            while (const auto line = lines.next())
                found += std::string(*line) + "|";
        }
        cr_assert_eq(found, "QUERY 1 WRITE a \n\nb\rc\r|QUERY 2 READ |",
                     "cut at %zu", cut);
    }
}

Test(text_codec, a_line_without_end_is_noticed)
{
    line_buffer lines;
    lines.append(std::string(largest_message + 1, 'x'));
    cr_assert_not(lines.next().has_value());
    cr_assert(lines.is_too_long());
}

// A number of synchronous replicas that is lost on the way would let a replica
// be promoted that lacks acknowledged commits.
Test(documents, synchronous_replicas_are_decoded)
{
    const auto parsed = parse_configuration(
        R"({"version":7,"routes":[],"services":[{"name":"g",)"
        R"("sync_replicas":1},{"name":"none"},{"name":"below",)"
        R"("sync_replicas":-2},{"name":"part","sync_replicas":0.5}]})");
    cr_assert(parsed.has_value());
    const auto count = [&parsed](const char* name)
    {
        return parsed->m_groups.at(base::group_id(name)).m_sync_replicas;
    };
    cr_assert_eq(count("g"), 1);
    cr_assert_eq(count("none"), 0);
    cr_assert_eq(count("below"), 0);
    cr_assert_eq(count("part"), 1);
}

Test(documents, a_configuration_is_decoded)
{
    const auto parsed = parse_configuration(
        R"({"version":7,"routes":[{"name":"r","host":"db","kind":"bounded",)"
        R"("timeout_ms":2000,"service":"g","max_staleness_ms":1500,)"
        R"("public":false}],"services":[{"name":"g","max_conns":21}],)"
        R"("limits":{"tx_idle_ms":3000},"tenants":[{"name":"t",)"
        R"("api_keys":["k1","k2"],"rate_per_s":140,"burst":140}]})");
    cr_assert(parsed.has_value());
    cr_assert_eq(parsed->m_keys.size(), 2);
    cr_assert_eq(parsed->m_routes.at("db").m_max_staleness,
                 absl::Milliseconds(1500));
    cr_assert_eq(parsed->m_groups.at(base::group_id("g")).m_max_connections,
                 21);
}

// Homes and cold rates that are lost on the way would be served as if none were
// declared.
Test(documents, home_regions_and_cold_rates_are_decoded)
{
    const auto parsed = parse_configuration(
        R"({"version":7,"routes":[{"name":"r","host":"db","kind":"bounded",)"
        R"("service":"g","home_regions":["n","s"]}],"services":[{"name":"g",)"
        R"("cold_per_s":20}],"tenants":[{"name":"t","home_regions":["s",4]}]})");
    cr_assert(parsed.has_value());
    const std::set<base::region_id> both = {base::region_id("n"),
                                            base::region_id("s")};
    cr_assert(parsed->m_routes.at("db").m_home_regions == both);
    const auto& who = parsed->m_organisations.at(base::organisation_id("t"));
    cr_assert(who.m_home_regions ==
              std::set<base::region_id>{base::region_id("s")});
    cr_assert_float_eq(parsed->m_groups.at(base::group_id("g")).m_cold_rate, 20,
                       1e-9);
    const auto entry = parse_endpoint_entry(
        "i-1", R"({"service":"g","addr":"10.0.0.9:80","zone":"z","slots":3,)"
               R"("state":"ready","db_role":"replica","seq":4,)"
               R"("cold_left_ms":2500})");
    cr_assert(entry.has_value());
    cr_assert(entry->m_cold_left == absl::Milliseconds(2500));
}

Test(documents, an_entry_of_another_writer_names_no_endpoint)
{
    const std::string good =
        R"({"service":"g","addr":"10.0.0.9:80","zone":"z","slots":3,)"
        R"("state":"ready","db_role":"replica","seq":4,"born":5})";
    cr_assert(parse_endpoint_entry("i-1", good).has_value());
    for (const char* bad :
         {"", "null", "{}", "\xff\xfe",
          R"({"service":"g","addr":"10.0.0.9","zone":"z","slots":3,)"
          R"("state":"ready","db_role":"replica","seq":4})",
          R"({"service":"g","addr":"10.0.0.9:80","zone":"z","slots":"3",)"
          R"("state":"ready","db_role":"replica","seq":4})",
          R"({"service":"g","addr":"10.0.0.9:80","zone":"z","slots":3,)"
          R"("state":"asleep","db_role":"replica","seq":4})"})
        cr_assert_not(parse_endpoint_entry("i-1", bad).has_value());
}

Test(documents, rows_that_cannot_be_read_are_an_error)
{
    cr_assert_not(parse_rows("").has_value());
    cr_assert_not(parse_rows("{\"rows\":5}").has_value());
    const auto rows =
        parse_rows(R"({"rows":[{"key":"a","value":"eA==","ver":3}],)"
                   R"("ver":9,"now_ms":51230})");
    cr_assert(rows.has_value());
    cr_assert_eq(rows->m_rows.at(0).m_value, "x");
    cr_assert_eq(rows->m_now_ms, 51230);
}
