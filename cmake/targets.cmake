# One static library for each folder of source/.
#   add_module(NAME SOURCES a.cc b.cc LINKS common core)
function(add_module name)
  cmake_parse_arguments(MODULE "" "" "SOURCES;LINKS" ${ARGN})
  add_library(${name} STATIC ${MODULE_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/source)
  target_link_libraries(${name} PUBLIC ${MODULE_LINKS})
endfunction()

# One Boost.Test program for each folder of tests/. The first source defines
# BOOST_TEST_MODULE.
#   add_module_tests(NAME SOURCES main.cc a_test.cc LINKS core)
function(add_module_tests name)
  cmake_parse_arguments(TESTS "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${TESTS_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${TESTS_LINKS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name} --log_level=test_suite --report_level=short
           WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
endfunction()
