# hibiscusferry_module(NAME DEPENDS OTHER... LIBRARIES LIB...)
#
# Declares the library module modules/NAME: one public header NAME.hpp, one
# translation unit NAME.cpp that includes the module's sources, and the tests
# (*_test.cpp) next to the classes that they test.
function(hibiscusferry_module name)
    cmake_parse_arguments(arg "" "" "DEPENDS;LIBRARIES" ${ARGN})
    set(directory ${CMAKE_SOURCE_DIR}/modules/${name})
    add_library(${name} STATIC ${directory}/${name}.cpp)
    target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/modules)
    target_link_libraries(${name} PUBLIC ${arg_DEPENDS} ${arg_LIBRARIES}
        hibiscusferry_options)

    file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${directory}/*_test.cpp)
    if(tests)
        hibiscusferry_test(${name}_test SOURCES ${tests} DEPENDS ${name})
    endif()
endfunction()

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

# hibiscusferry_program(NAME DIRECTORY DEPENDS MODULE...)
#
# Declares a program built from DIRECTORY/*.cpp, without its tests.
function(hibiscusferry_program name directory)
    cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${directory}/*.cpp)
    list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS} hibiscusferry_options)
endfunction()
