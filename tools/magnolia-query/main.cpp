// magnolia-query: runs statements for a caller.
#include "magnoliastack/query/query.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    return magnoliastack::query::run(argc, argv, MAGNOLIASTACK_VERSION,
                                     std::cout, std::cerr);
}
