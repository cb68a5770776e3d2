# Functions that declare a slice (a library with a single responsibility) and
# its unit tests.

# ebonygrade_slice(NAME SOURCES ... DEPENDS ...)
# Builds the static library ebonygrade_NAME, or an interface library if there
# are no SOURCES. Its headers are included as "NAME/header.h", relative to src.
function(ebonygrade_slice name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  if(ARG_SOURCES)
    add_library(ebonygrade_${name} STATIC ${ARG_SOURCES})
    set(scope PUBLIC)
  else()
    add_library(ebonygrade_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(ebonygrade_${name} ${scope} ${EBONYGRADE_ROOT}/src)
  target_link_libraries(ebonygrade_${name} ${scope} Boost::headers
                        Threads::Threads ${ARG_DEPENDS})
endfunction()

# ebonygrade_test(NAME SOURCES ... DEPENDS ... DEFINITIONS ...)
# Builds the Catch2 program NAME and registers it with ctest. Does nothing
# if EBONYGRADE_DAEMON_ONLY is set: the build in deploy/ has no tests.
function(ebonygrade_test name)
  if(EBONYGRADE_DAEMON_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;DEFINITIONS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${EBONYGRADE_ROOT}/src)
  target_link_libraries(${name} PRIVATE ebonygrade_catch_main ${ARG_DEPENDS})
  target_compile_definitions(${name} PRIVATE ${ARG_DEFINITIONS})
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
