# Declares libs/<name> as a static library with its sources and dependencies.
function(cherrydyke_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  if(ARG_SOURCES)
    add_library(${name} STATIC ${ARG_SOURCES})
    target_include_directories(${name} PUBLIC include PRIVATE src)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS}
                          PRIVATE ${ARG_PRIVATE_DEPENDS})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE include)
    target_link_libraries(${name} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# Declares one CppUnit test binary and registers it with CTest: once, or each of
# the CASES of its SUITE.
function(cherrydyke_test name)
  cmake_parse_arguments(ARG "" "SUITE" "SOURCES;DEPENDS;CASES" ${ARGN})
  if(CHERRYDYKE_ONLY_TIER)
    return()
  endif()
  add_executable(${name} ${ARG_SOURCES}
                 ${PROJECT_SOURCE_DIR}/tests/support/test_main.cc)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} cppunit rapidcheck)
  if(NOT ARG_CASES)
    add_test(NAME ${name} COMMAND ${name})
  endif()
  foreach(case ${ARG_CASES})
    add_test(NAME ${name}_${case}
             COMMAND ${name} cherrydyke::${ARG_SUITE}::${case})
  endforeach()
endfunction()

# Declares a program built from a thin main and its own sources.
function(cherrydyke_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES
                        RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
