set(BORAGERIDGE_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Werror
    # GCC 12 reports variants and inlined vectors falsely.
    -Wno-maybe-uninitialized -Wno-uninitialized -Wno-unknown-warning-option)

# borageridge_library(<slice> SOURCES ... TESTS ... DEPENDS ...): library borageridge_<slice> and, if TESTS is given,
# one CppUnit test program <slice>_tests that CTest runs.
function(borageridge_library SLICE)
  cmake_parse_arguments(ARG "" "" "SOURCES;TESTS;DEPENDS;TEST_DEPENDS" ${ARGN})
  set(TARGET borageridge_${SLICE})
  if(ARG_SOURCES)
    add_library(${TARGET} STATIC ${ARG_SOURCES})
    set(SCOPE PUBLIC)
    target_compile_options(${TARGET} PRIVATE ${BORAGERIDGE_WARNINGS})
  else()
    add_library(${TARGET} INTERFACE)
    set(SCOPE INTERFACE)
  endif()
  target_include_directories(${TARGET} ${SCOPE} ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${TARGET} ${SCOPE} borageridge_proto Threads::Threads ${ARG_DEPENDS})
  if(ARG_TESTS)
    add_executable(${SLICE}_tests ${ARG_TESTS} ${PROJECT_SOURCE_DIR}/src/testing/TestMain.cpp)
    target_compile_options(${SLICE}_tests PRIVATE ${BORAGERIDGE_WARNINGS})
    target_link_libraries(${SLICE}_tests PRIVATE ${TARGET} PkgConfig::CPPUNIT ${ARG_TEST_DEPENDS})
    add_test(NAME ${SLICE} COMMAND ${SLICE}_tests)
    set_tests_properties(${SLICE} PROPERTIES TIMEOUT 240)
  endif()
endfunction()

# borageridge_program(<name> SOURCES ... DEPENDS ...): one program in build/<preset>/bin.
function(borageridge_program NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_include_directories(${NAME} PRIVATE ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/src)
  target_compile_options(${NAME} PRIVATE ${BORAGERIDGE_WARNINGS})
  target_link_libraries(${NAME} PRIVATE borageridge_proto Threads::Threads ${ARG_DEPENDS})
endfunction()
