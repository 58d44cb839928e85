find_package(Boost 1.74 REQUIRED COMPONENTS unit_test_framework)

# hibiscusferry_test(NAME SOURCES FILE... DEPENDS MODULE...)
#
# Declares a Boost.Test program and its ctest entry of the same name.
function(hibiscusferry_test name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${arg_SOURCES}
        ${CMAKE_SOURCE_DIR}/cmake/test_main.cpp)
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS}
        rapidcheck Boost::unit_test_framework hibiscusferry_options)
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK
        HIBISCUSFERRY_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    add_test(NAME ${name} COMMAND ${name})
    # Property tests draw the same cases in each run.
    set_tests_properties(${name} PROPERTIES TIMEOUT 300
        ENVIRONMENT "RC_PARAMS=seed=1 max_success=500")
endfunction()
