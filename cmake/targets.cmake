# One static library for each folder of source/.
#   add_module(NAME SOURCES a.cc b.cc LINKS common core)
function(add_module name)
  cmake_parse_arguments(MODULE "" "" "SOURCES;LINKS" ${ARGN})
  add_library(${name} STATIC ${MODULE_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/source)
  target_link_libraries(${name} PUBLIC ${MODULE_LINKS})
endfunction()

# One Boost.Test program. The first source defines BOOST_TEST_MODULE.
#   add_test_program(NAME SOURCES main.cc a_test.cc LINKS core)
function(add_test_program name)
  cmake_parse_arguments(TESTS "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${TESTS_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${TESTS_LINKS} Boost::unit_test_framework)
endfunction()

# In seconds. Sanitizers make the random histories and forced orders of the core
# some thirty times longer.
set(TEST_TIMEOUT 3000)

# The program and test for each folder of tests/; takes what add_test_program
# takes.
function(add_module_tests name)
  add_test_program(${name} ${ARGN})
  add_test(NAME ${name} COMMAND ${name} --log_level=test_suite --report_level=short
           WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${TEST_TIMEOUT})
endfunction()

# A test that runs only those cases of the program that `filter` selects; as
# add_module_tests otherwise.
function(add_test_part program part filter)
  add_test(NAME ${program}_${part}
           COMMAND ${program} --run_test=${filter} --log_level=test_suite
                   --report_level=short
           WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
  set_tests_properties(${program}_${part} PROPERTIES TIMEOUT ${TEST_TIMEOUT})
endfunction()

# As add_module_tests for open faults, whose cases KNOWN-RED.txt lists one by
# one. Red once a listed case passes, another fails, or the program crashes.
function(add_known_red_tests name)
  add_test_program(${name} ${ARGN})
  add_test(NAME ${name}
           COMMAND ${PROJECT_SOURCE_DIR}/scripts/known-red $<TARGET_FILE:${name}>)
endfunction()
