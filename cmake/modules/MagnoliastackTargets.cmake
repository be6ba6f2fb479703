# magnoliastack_library(NAME SOURCES ... USES ...): a library target
# magnoliastack_NAME from lib/NAME with public headers below include/.
function(magnoliastack_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;USES" ${ARGN})
  add_library(magnoliastack_${name} STATIC ${ARG_SOURCES})
  target_include_directories(magnoliastack_${name}
    PUBLIC ${PROJECT_SOURCE_DIR}/include
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(magnoliastack_${name} PUBLIC ${ARG_USES})
  target_compile_options(magnoliastack_${name}
    PRIVATE -Wall -Wextra -Werror)
endfunction()

# magnoliastack_tool(NAME SOURCES ... USES ...): a binary from tools/NAME.
function(magnoliastack_tool name)
  cmake_parse_arguments(ARG "" "" "SOURCES;USES" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/include)
  target_link_libraries(${name} PRIVATE ${ARG_USES})
  target_compile_options(${name} PRIVATE -Wall -Wextra -Werror)
  target_compile_definitions(${name}
    PRIVATE MAGNOLIASTACK_VERSION="${PROJECT_VERSION}")
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# magnoliastack_unittest(NAME SOURCES ... USES ...): a Criterion test binary
# NAME_test from unittests/NAME, run by ctest.
function(magnoliastack_unittest name)
  cmake_parse_arguments(ARG "" "" "SOURCES;USES" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES})
  target_link_libraries(${name}_test
    PRIVATE ${ARG_USES} PkgConfig::CRITERION)
  target_compile_options(${name}_test PRIVATE -Wall -Wextra -Werror
    -Wno-missing-field-initializers)
  add_test(NAME unit.${name} COMMAND ${name}_test --jobs 2)
  set_tests_properties(unit.${name} PROPERTIES TIMEOUT 300)
endfunction()

# magnoliastack_embed_charts(TARGET NAMES ...): compiles charts/NAME.scxml into
# TARGET as strings, so that a host needs no data directory.
function(magnoliastack_embed_charts target)
  set(body "#include <string_view>\n")
  string(APPEND body "namespace magnoliastack::statechart::embedded\n{\n")
  foreach(name ${ARGN})
    set(path ${PROJECT_SOURCE_DIR}/charts/${name}.scxml)
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${path})
    file(READ ${path} text)
    string(APPEND body
      "extern const std::string_view ${name};\n"
      "const std::string_view ${name} = R\"scxml(${text})scxml\";\n")
  endforeach()
  string(APPEND body "}\n")
  set(out ${CMAKE_CURRENT_BINARY_DIR}/${target}_charts.cpp)
  file(WRITE ${out}.new "${body}")
  file(COPY_FILE ${out}.new ${out} ONLY_IF_DIFFERENT)
  target_sources(${target} PRIVATE ${out})
endfunction()
